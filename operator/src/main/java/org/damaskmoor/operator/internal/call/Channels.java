package org.damaskmoor.operator.internal.call;

import io.grpc.ManagedChannel;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.handler.ssl.SslContext;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.damaskmoor.core.operator.OperatorTrailers;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.core.settings.TlsFiles;
import org.damaskmoor.schema.settings.OperatorSettings;

/** Opens gRPC channels to operator ports according to the settings. Stateless. */
public final class Channels {
    private static final int MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

    private Channels() {}

    /** Opens a channel; it connects with its first call. */
    public static ManagedChannel open(OperatorSettings settings) throws SettingsException {
        NettyChannelBuilder builder =
                NettyChannelBuilder.forTarget("dns:///" + settings.getNode())
                        .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                        .maxInboundMetadataSize(OperatorTrailers.METADATA_BYTES)
                        .disableRetry();
        Optional<TlsFiles> files =
                TlsFiles.of(
                        settings.getTlsCertificateFile(),
                        settings.getTlsKeyFile(),
                        settings.getTlsAuthorityFile());
        if (files.isPresent()) {
            builder.sslContext(sslContext(files.get()));
        } else {
            builder.usePlaintext();
        }
        return builder.build();
    }

    private static SslContext sslContext(TlsFiles files) throws SettingsException {
        try {
            return GrpcSslContexts.forClient()
                    .keyManager(files.certificate(), files.key())
                    .trustManager(files.authority())
                    .build();
        } catch (IllegalArgumentException | SSLException unusable) {
            throw files.unusable(unusable);
        }
    }
}
