package org.damaskmoor.bench.platform;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.http.EventLoopServer;

/** Runs the platform stand-in until the process is terminated. Used by one thread. */
@Command(name = "platform-stand-in", description = "Table service and object store in memory")
public final class PlatformStandInCommand implements Callable<Integer> {
    @Option(name = "--port", description = "Port to listen on")
    @Required
    private int port;

    @Override
    public Integer call() throws Exception {
        new EventLoopServer("platform", port, PlatformServlet::new).join();
        return 0;
    }
}
