package cypressvalve.adapter;

import cypressvalve.Control;
import cypressvalve.Gateway;
import cypressvalve.config.BadSettings;
import cypressvalve.config.SettingsReader;
import cypressvalve.model.MediaHost;
import cypressvalve.model.Playback;
import cypressvalve.model.Settings;
import cypressvalve.model.SetupTry;
import cypressvalve.model.Title;
import cypressvalve.model.Verdict;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One life of one gateway: decodes its lines into calls on its Control, and Control's acts into lines. */
final class Instance implements Gateway {
    private final StringBuilder out = new StringBuilder();
    private final Settings settings;
    private final Control control;
    private final Map<String, Playback> playbacks = new HashMap<>();
    private final Map<Long, MediaHost> hosts = new HashMap<>();
    private final Map<String, Title> titles = new HashMap<>();
    private long now;
    private boolean faulted;

    Instance(Line begin, long now) {
        try {
            settings = SettingsReader.read(begin.text("profileData"));
        } catch (BadSettings e) {
            throw new BadInput("BEGIN: " + e.getMessage());
        }
        this.now = now;
        control = new Control(settings, begin.whole("randomSeed"), now, this);
        control.at(now);
        control.settle();
    }

    /** Takes one event; a failure of the decisions becomes the wire's word for it. */
    void take(Line line, long time, List<Line> bank) {
        now = time;
        if (faulted) {
            return;
        }
        try {
            control.at(now);
            decode(line, bank);
            control.settle();
        } catch (BadInput e) {
            throw e;
        } catch (RuntimeException e) {
            faulted = true;
            out.append("FAULT message=").append(oneLine(e.toString())).append('\n');
        }
    }

    /** The action lines since the last call. */
    void drainTo(StringBuilder reply) {
        reply.append(out);
        out.setLength(0);
    }

    boolean hasActions() {
        return out.length() > 0;
    }

    private void decode(Line line, List<Line> bank) {
        switch (line.name) {
            case "ROSTER_CHANGE" -> roster(line, bank);
            case "DEMAND" -> control.requested(playback(line));
            case "HANDOVER" -> {
                Playback playback = playback(line);
                MediaHost host = hosts.get(line.whole("host"));
                if (host == null) {
                    throw line.bad("host", "a media host that was listed");
                }
                control.handedOver(playback, host);
            }
            case "HEADERS" -> {
                SetupTry setupTry = setupTry(line);
                if (setupTry != null) {
                    control.started(setupTry);
                }
            }
            case "REPORT_BACK" -> reportBack(line);
            case "HINT_UPDATE" -> note(line);
            case "VANISHED" -> {
                Playback playback = playbacks.get(line.text("opId"));
                if (playback != null) {
                    control.over(playback);
                    forget(playback);
                }
            }
            case "BELL" -> line.whole("keyBack");
            case "HEALTH" -> {
                Verdict verdict = verdict(line);
                MediaHost host = hosts.get(line.whole("host"));
                if (host != null) {
                    control.probed(host, verdict, link(line), line.pair("stats", "x1"));
                }
            }
            case "PEER_DATA" -> {
                try {
                    String blob = line.text("blob", "-");
                    line.whole("srcPeer");
                    Base64.getDecoder().decode(blob.equals("-") ? "" : blob);
                } catch (IllegalArgumentException e) {
                    throw line.bad("blob", "base64");
                }
            }
            default -> throw new BadInput("unknown message " + line.name);
        }
    }

    private void roster(Line line, List<Line> bank) {
        String mode = line.text("mode");
        line.whole("version", 0);
        if (mode.equals("FAILED")) {
            control.listFailed();
            return;
        }
        boolean whole = switch (mode) {
            case "INCREMENTAL" -> false;
            case "FULL", "SAVED" -> true;
            default -> throw line.bad("mode", "a known kind");
        };
        if (bank == null) {
            throw line.bad("bank", "a list that was sent");
        }
        List<MediaHost> named = new ArrayList<>(bank.size());
        for (Line item : bank) {
            MediaHost host = hosts.computeIfAbsent(item.whole("host"), MediaHost::new);
            host.state = switch (item.text("status", "active")) {
                case "active" -> MediaHost.State.ACTIVE;
                case "leaving" -> MediaHost.State.DRAINING;
                case "left" -> MediaHost.State.GONE;
                default -> throw item.bad("status", "a known state");
            };
            host.rating = item.real("rating", host.rating);
            host.startedAt = item.whole("startTimeNs", 0);
            host.cell = (int) item.whole("slotNo", host.cell);
            host.kind = item.text("sku", host.kind);
            host.zone = item.text("az", host.zone);
            host.link = Math.max(1, host.rating * settings.linkPerRating);
            host.places = settings.places.getOrDefault(host.kind, 1.0);
            named.add(host);
        }
        control.listed(named, whole);
    }

    private Playback playback(Line line) {
        Playback playback = new Playback(line.text("opId"));
        playback.plan = settings.plansByName.get(line.text("profile"));
        if (playback.plan == null) {
            throw line.bad("profile", "a plan of the settings");
        }
        String item = line.text("item", playback.id);
        Title title = titles.computeIfAbsent(item, Title::new);
        title.heldBy((int) line.real("home", 0), (int) line.real("span", settings.cells));
        playback.title = title;
        playback.tenant = settings.tenants.getOrDefault(line.text("tenant", ""), -1);
        playback.ceiling = (int) line.real("ceilingRung", settings.ladder.length - 1);
        playback.arrivedAt = now;
        playback.abandonAt = now + line.whole("ttlNs", Long.MAX_VALUE / 4);
        playback.hint = line.whole("hintNs", 0);
        line.flag("relocated");
        playbacks.put(playback.id, playback);
        return playback;
    }

    private void reportBack(Line line) {
        Verdict verdict = verdict(line);
        boolean finished = line.flag("finished");
        double link = link(line);
        double uplink = line.pair("stats", "x1");
        SetupTry setupTry = setupTry(line);
        if (setupTry != null) {
            control.cameBack(setupTry, verdict, finished, link, uplink);
            forget(setupTry.playback);
        }
    }

    private void note(Line line) {
        int sort = (int) line.whole("sort");
        double level = line.real("level");
        SetupTry setupTry = setupTry(line);
        if (setupTry == null) {
            return;
        }
        switch (sort) {
            case 1 -> control.delivered(setupTry, level);
            case 2 -> control.rungTold(setupTry, (int) level);
            case 3 -> control.loadTold(setupTry, level, Double.NaN);
            case 4 -> control.loadTold(setupTry, Double.NaN, level);
            default -> { }
        }
    }

    /** The try that the line names, or null if it is not known any more. */
    private SetupTry setupTry(Line line) {
        Playback playback = playbacks.get(line.text("opId"));
        int leg = (int) line.whole("leg", 0);
        return playback == null || leg < 0 || leg >= playback.tries.size() ? null : playback.tries.get(leg);
    }

    /** Lets go of a playback that is answered and has nothing at a media host any more. */
    private void forget(Playback playback) {
        if (playback.answered && !playback.onHost()) {
            playbacks.remove(playback.id);
        }
    }

    private static double link(Line line) {
        double asked = line.pair("stats", "x0");
        return Double.isNaN(asked) ? line.pair("stats", "util") : asked;
    }

    private static Verdict verdict(Line line) {
        return switch (line.text("verdict")) {
            case "S" -> Verdict.OK;
            case "E" -> Verdict.ERROR;
            case "F" -> Verdict.FULL;
            case "T" -> Verdict.TIMEOUT;
            case "C" -> Verdict.NO_CONNECTION;
            case "R" -> Verdict.BROKEN;
            case "X" -> Verdict.WITHDRAWN;
            case "N" -> Verdict.NOT_SENT;
            default -> throw line.bad("verdict", "a known verdict");
        };
    }

    @Override
    public void setUp(Playback playback, MediaHost host, long maxWait) {
        out.append("TRY opId=").append(playback.id).append(" maxWaitNs=").append(maxWait)
            .append(" host=").append(host.id).append('\n');
    }

    @Override
    public void setRung(Playback playback, int rung) {
        out.append("RETUNE opId=").append(playback.id).append(" step=").append(rung).append('\n');
    }

    @Override
    public void reject(Playback playback, long comeBackIn) {
        out.append("BUSY opId=").append(playback.id);
        if (comeBackIn > 0) {
            out.append(" backoffNs=").append(comeBackIn);
        }
        out.append('\n');
        forget(playback);
    }

    @Override
    public void fail(Playback playback) {
        out.append("DROP_REQUEST opId=").append(playback.id).append('\n');
        forget(playback);
    }

    @Override
    public void withdraw(SetupTry setupTry) {
        out.append("STOP_ATTEMPT opId=").append(setupTry.playback.id).append(" leg=").append(setupTry.number)
            .append('\n');
    }

    @Override
    public void move(Playback playback) {
        out.append("TRANSFER opId=").append(playback.id).append('\n');
    }

    @Override
    public void probe(MediaHost host) {
        out.append("PING host=").append(host.id).append('\n');
    }

    @Override
    public void release(MediaHost host) {
        out.append("FREE_LINKS host=").append(host.id).append('\n');
    }

    @Override
    public void wakeAt(long time) {
        out.append("SET_TIMER alarmTimeNs=").append(time).append(" keyBack=1\n");
    }

    @Override
    public void tell(int gateway, byte[] data) {
        out.append("SHARE neighbourId=").append(gateway < 0 ? "all" : gateway).append(" blob=")
            .append(data.length == 0 ? "-" : Base64.getEncoder().encodeToString(data)).append('\n');
    }

    @Override
    public void followList(boolean on) {
        out.append("KEEP_INFORMED on=").append(on ? 1 : 0).append('\n');
    }

    @Override
    public void fetchList() {
        out.append("RESOLVE\n");
    }

    @Override
    public void log(String text) {
        out.append("NOTE_DOWN message=").append(oneLine(text)).append('\n');
    }

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
