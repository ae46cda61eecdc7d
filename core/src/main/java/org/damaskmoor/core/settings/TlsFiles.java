package org.damaskmoor.core.settings;

import java.io.File;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The files that TLS is set up from: all three or none are set. Immutable and thread-safe.
 *
 * @param certificate PEM file with the own certificate
 * @param key PEM file with its key
 * @param authority PEM file with the authority whose certificates the other side must present
 */
public record TlsFiles(File certificate, File key, File authority) {
    private static final String CERTIFICATE_FLAG = "--tls-certificate-file";
    private static final String KEY_FLAG = "--tls-key-file";
    private static final String AUTHORITY_FLAG = "--tls-authority-file";

    /**
     * Checks that all or none are set.
     *
     * @return empty when none is set: no TLS
     * @throws SettingsException naming each flag that is missing beside the others
     */
    public static Optional<TlsFiles> of(String certificate, String key, String authority)
            throws SettingsException {
        if (certificate.isEmpty() && key.isEmpty() && authority.isEmpty()) {
            return Optional.empty();
        }
        List<SettingFault> missing = new ArrayList<>();
        requireSet(CERTIFICATE_FLAG, certificate, missing);
        requireSet(KEY_FLAG, key, missing);
        requireSet(AUTHORITY_FLAG, authority, missing);
        if (!missing.isEmpty()) {
            throw new SettingsException(missing);
        }
        return Optional.of(new TlsFiles(new File(certificate), new File(key), new File(authority)));
    }

    /**
     * The fault of a file that a TLS library could not use.
     *
     * @param problem what the library said; names the file
     */
    public SettingsException unusable(Exception problem) {
        String message = String.valueOf(problem.getMessage());
        File named = certificate;
        String flag = CERTIFICATE_FLAG;
        if (message.contains(key.getPath())) {
            named = key;
            flag = KEY_FLAG;
        } else if (message.contains(authority.getPath())) {
            named = authority;
            flag = AUTHORITY_FLAG;
        }
        String allowed = "a readable PEM file that fits the other two (" + message + ")";
        return new SettingsException(List.of(new SettingFault(flag, named.getPath(), allowed)));
    }

    private static void requireSet(String flag, String value, List<SettingFault> missing) {
        if (value.isEmpty()) {
            missing.add(
                    new SettingFault(
                            flag,
                            "",
                            "the name of a PEM file; TLS needs all of "
                                    + String.join(", ", CERTIFICATE_FLAG, KEY_FLAG, AUTHORITY_FLAG)
                                    + ", or none"));
        }
    }
}
