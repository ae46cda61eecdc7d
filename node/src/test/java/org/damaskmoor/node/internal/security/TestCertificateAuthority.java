package org.damaskmoor.node.internal.security;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * A certificate authority and certificates signed by it, as PEM files. They are created with the
 * JDK's {@code keytool}, because the JDK has no public API that creates certificates.
 */
final class TestCertificateAuthority {
    /** The same for all authorities, so that they differ in their signatures only. */
    private static final String SUBJECT = "CN=authority";

    private static final String PASSWORD = "test-only";
    private static final Base64.Encoder BASE64 =
            Base64.getMimeEncoder(64, System.lineSeparator().getBytes(UTF_8));

    private final Path directory;
    private final String name;

    TestCertificateAuthority(Path directory, String name) throws IOException, InterruptedException {
        this.directory = directory;
        this.name = name;
        generate(name, SUBJECT, "-ext", "bc:critical=ca:true");
    }

    /** File with the authority's own certificate. */
    Path authorityFile() throws IOException, GeneralSecurityException {
        return pem(name + "-authority", "CERTIFICATE", store().getCertificate(name).getEncoded());
    }

    /** Signs a certificate for the loopback address. */
    void sign(String node) throws IOException, InterruptedException {
        generate(node, "CN=" + node, "-signer", name, "-ext", "san=ip:127.0.0.1,dns:localhost");
    }

    Path certificateFile(String node) throws IOException, GeneralSecurityException {
        return pem(node + "-certificate", "CERTIFICATE", store().getCertificate(node).getEncoded());
    }

    Path keyFile(String node) throws IOException, GeneralSecurityException {
        byte[] key = store().getKey(node, PASSWORD.toCharArray()).getEncoded();
        return pem(node + "-key", "PRIVATE KEY", key);
    }

    private void generate(String alias, String subject, String... extra)
            throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                alias,
                                "-keyalg",
                                "EC",
                                "-dname",
                                subject,
                                "-storetype",
                                "PKCS12",
                                "-storepass",
                                PASSWORD,
                                "-keystore",
                                storeFile().toString()));
        command.addAll(List.of(extra));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), UTF_8);
        if (process.waitFor() != 0) {
            throw new IOException("keytool failed: " + output);
        }
    }

    private KeyStore store() throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        try (InputStream input = Files.newInputStream(storeFile())) {
            store.load(input, PASSWORD.toCharArray());
        }
        return store;
    }

    private Path storeFile() {
        return directory.resolve(name + ".p12");
    }

    private Path pem(String file, String type, byte[] encoded) throws IOException {
        String text =
                "-----BEGIN "
                        + type
                        + "-----\n"
                        + BASE64.encodeToString(encoded)
                        + "\n-----END "
                        + type
                        + "-----\n";
        return Files.writeString(directory.resolve(file + ".pem"), text);
    }
}
