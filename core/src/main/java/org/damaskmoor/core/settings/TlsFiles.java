package org.damaskmoor.core.settings;

import java.io.File;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The files for the TLS configuration: either all three are set or none. Immutable and thread-safe.
 *
 * @param certificate PEM file with the certificate of this process
 * @param key PEM file with the private key of that certificate
 * @param authority PEM file with the authority that must have signed the peer's certificate
 */
public record TlsFiles(File certificate, File key, File authority) {
    private static final String CERTIFICATE_FLAG = "--tls-certificate-file";
    private static final String KEY_FLAG = "--tls-key-file";
    private static final String AUTHORITY_FLAG = "--tls-authority-file";

    /**
     * Checks that all or none are set.
     *
     * @return empty if none is set: no TLS
     * @throws SettingsException naming each missing flag if only some are set
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
     * Returns the exception for a file that the TLS library could not use.
     *
     * @param problem the failure reported by the library, whose message names the file
     */
    public SettingsException unusable(Exception problem) {
        String message = String.valueOf(problem.getMessage());
        File file = certificate;
        String flag = CERTIFICATE_FLAG;
        if (message.contains(key.getPath())) {
            file = key;
            flag = KEY_FLAG;
        } else if (message.contains(authority.getPath())) {
            file = authority;
            flag = AUTHORITY_FLAG;
        }
        String allowed = "a readable PEM file that fits the other two (" + message + ")";
        return new SettingsException(List.of(new SettingFault(flag, file.getPath(), allowed)));
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
