/** Starts daemon threads; a task that fails ends only its own thread. */
final class Threads {
    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception ended) {
                                // A closed socket or an interrupt: the task is over.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
