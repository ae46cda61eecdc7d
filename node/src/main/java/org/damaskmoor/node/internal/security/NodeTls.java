package org.damaskmoor.node.internal.security;

import io.grpc.netty.GrpcSslContexts;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.core.settings.TlsFiles;
import org.damaskmoor.mesh.MeshTls;
import org.damaskmoor.schema.settings.NodeSettings;

/**
 * Mutual TLS contexts of a node. Immutable and thread-safe.
 *
 * <p>Invariant: both sides of every connection must present a certificate signed by the authority.
 *
 * @param mesh for connections between nodes
 * @param operators for the operator port
 */
public record NodeTls(MeshTls mesh, SslContext operators) {
    /**
     * Reads the certificate, key and authority files named in the settings.
     *
     * @return empty when the settings name none
     * @throws SettingsException when only some are named, or a file cannot be used
     */
    public static Optional<NodeTls> read(NodeSettings settings) throws SettingsException {
        Optional<TlsFiles> files =
                TlsFiles.of(
                        settings.getTlsCertificateFile(),
                        settings.getTlsKeyFile(),
                        settings.getTlsAuthorityFile());
        return files.isEmpty() ? Optional.empty() : Optional.of(read(files.get()));
    }

    private static NodeTls read(TlsFiles files) throws SettingsException {
        try {
            SslContext client =
                    SslContextBuilder.forClient()
                            .keyManager(files.certificate(), files.key())
                            .trustManager(files.authority())
                            .build();
            SslContext operators = GrpcSslContexts.configure(server(files)).build();
            return new NodeTls(new MeshTls(server(files).build(), client), operators);
        } catch (IllegalArgumentException | SSLException unusable) {
            throw files.unusable(unusable);
        }
    }

    private static SslContextBuilder server(TlsFiles files) {
        return SslContextBuilder.forServer(files.certificate(), files.key())
                .trustManager(files.authority())
                .clientAuth(ClientAuth.REQUIRE);
    }
}
