package cypressvalve.lab;

import cypressvalve.session.Answer;
import cypressvalve.session.Ask;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;

/** What a viewer in simulated time sees of a gateway, whoever decides behind it. */
interface Front {
    /** What came of a request to watch. */
    interface Told {
        void playing(Playing plays);

        /** @param comeBackIn nanoseconds, 0 for no advice */
        void rejected(long comeBackIn);

        void failed();
    }

    /** A session that plays, or played. */
    interface Playing {
        boolean plays();

        int host();

        int rung();

        String name();

        /** The viewer was heard of. */
        void seen();

        /** The viewer ends it. */
        void end();
    }

    /** A request to watch; the task returned says that its viewer hung up. */
    Runnable ask(Ask ask, Told told);

    /** A session that played when the day began, by its name; null if it was not taken up. */
    Playing playing(String id);

    /** Stops with no word to anybody. */
    void close();

    /** The program's own core. */
    record Core(SessionCore core) implements Front {
        @Override
        public Runnable ask(Ask ask, Told told) {
            Answer answer = new Answer() {
                @Override
                public void playing(Session session) {
                    told.playing(of(session));
                }

                @Override
                public void rejected(long comeBackIn) {
                    told.rejected(comeBackIn);
                }

                @Override
                public void failed() {
                    told.failed();
                }
            };
            Session session = core.ask(ask, answer);
            return session == null ? () -> { } : () -> core.hungUp(session, answer);
        }

        private Playing of(Session session) {
            return new Playing() {
                @Override
                public boolean plays() {
                    return session.state() == Session.State.PLAYING;
                }

                @Override
                public int host() {
                    return (int) session.host().id();
                }

                @Override
                public int rung() {
                    return session.rung();
                }

                @Override
                public String name() {
                    return session.hostSession();
                }

                @Override
                public void seen() {
                    core.seen(session);
                }

                @Override
                public void end() {
                    core.end(session);
                }
            };
        }

        @Override
        public Playing playing(String id) {
            Session session = core.session(id);
            return session == null ? null : of(session);
        }

        @Override
        public void close() {
            core.close();
        }
    }
}
