"""Named constants with their units and where each comes from."""

# -- connections of callers ---------------------------------------------------
#: Answer bytes that may wait for a slow caller before the target is paused;
#: some round trips of an event stream.
CALLER_BUFFER_BYTES = 262_144
#: Requests a caller may send ahead on one connection before reading pauses.
PIPELINED_LIMIT = 4
#: Backlog of connections that are not accepted yet; the kernel's usual cap.
ACCEPT_BACKLOG = 1_024

#: Part of a process's descriptors that callers' connections may take; the rest is
#: for connections to targets, files and peers.
CALLER_DESCRIPTORS = 0.65
#: Connections to each of the addresses for operators and peers; all routers may
#: ask for a configuration at the same time.
OBSERVER_CONNECTIONS = 400
#: Share of the connections above which answers end theirs.
CROWDED_SHARE = 0.75

# -- connections to targets ---------------------------------------------------
#: Longest wait for a new connection, ms; some hundred round trips inside a
#: region, and below the first retransmission of a lost opening packet.
CONNECT_TIMEOUT_MS = 600
#: Unacknowledged bytes end a connection after this, ms (TCP_USER_TIMEOUT);
#: several retransmissions inside a region.
UNACKNOWLEDGED_LIMIT_MS = 2_500
#: Keep-alive probes of TCP: idle seconds, seconds between probes, probes.
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBE_COUNT = 3
#: Idle connections are dropped after this where a target names no time-out, s.
IDLE_REUSE_S = 4.0
#: Part of a target's idle time-out during which its connection is used again.
IDLE_REUSE_SHARE = 0.7
#: Requests that may run once use connections idle for less than this, s; the
#: longer a connection is idle, the likelier it was dropped without notice.
ONCE_REUSE_S = 1.5
#: Largest answer that is held back until it is whole, bytes.
WHOLE_ANSWER_BYTES = 262_144
#: Answer parts that may wait for the forwarding task before reading pauses.
ANSWER_QUEUE_BYTES = 262_144
#: Largest header of an answer, bytes; the common limit of HTTP servers.
ANSWER_HEADER_BYTES = 65_536

# -- forwarding ---------------------------------------------------------------
#: Part of the time-out kept back to tell the caller before it leaves, ms.
FINAL_ANSWER_RESERVE_MS = 60
#: Targets that may turn down one request before it is refused; each is an
#: arrival that counts against the retry budget.
DECLINED_LIMIT = 2

# -- condition of targets -----------------------------------------------------
#: A target that could not be reached is passed over for this long, ms, doubled
#: with each further failure in a row up to the limit.
UNREACHABLE_PAUSE_MS = 400
UNREACHABLE_PAUSE_LIMIT_MS = 3_000
#: A target whose address another one has is passed over for this long, ms;
#: by then its entry is gone.
REPLACED_PAUSE_MS = 5_000
#: Smoothing of a target's share of failed answers (weight of the newest one).
FAILURE_SMOOTHING = 0.15
#: Share of failed answers above which a target counts as failing.
FAILING_SHARE = 0.3
#: Share of a failing target's usual room that is still used, to see it mend.
FAILING_ROOM = 0.1
#: A belief in failure halves after this long without new evidence, ms.
FAILURE_HALF_LIFE_MS = 2_000

# -- queueing at the router ---------------------------------------------------
#: Wait after an event until the queue is looked at, ms; bundles events.
DISPATCH_DELAY_MS = 2
#: The queue is looked at least this often while calls wait, ms.
DISPATCH_TICK_MS = 20
#: Share of the processor that looks at the queue may take before they are made
#: less often; what is left is for answers under way.
DISPATCH_SHARE = 0.25
#: Calls that are looked at each time, first in order; bounds the work of one look
#: to some ms with dozens of targets.
DISPATCH_LOOK_AHEAD = 24
#: Calls that may wait for one service at a router; memory of about 15 KB each.
QUEUE_LIMIT = 400
#: Prompt reading that may wait inside one engine, ms; covers the age of what
#: routers know of each other, so that engines do not run dry.
ENGINE_BACKLOG_MS = 150.0
#: Prompt tokens an engine is assumed to read in a ms before any was measured.
INITIAL_READ_RATE = 40.0
#: Bounds of the learned rate, tokens a ms.
READ_RATE_RANGE = (4.0, 400.0)
#: Smoothing of the learned rate (weight of the newest answer).
READ_RATE_SMOOTHING = 0.05
#: Time from a prompt's end to its first event in an idle engine, ms, before
#: any was measured.
FIRST_EVENT_MS = 30.0
#: An engine that reads nothing and runs less than this share of its slots is
#: idle enough for any call.
IDLE_SHARE = 0.06
#: The same for calls that are held back for a customer that had much less.
HELD_IDLE_SHARE = 0.2
#: Part of a target's room that calls beyond their customer's share may use.
SPARE_ROOM = 0.6
#: A customer goes short for this long after a call of it was refused, ms; its
#: callers come again within about that time.
SHORT_MS = 1_000.0
#: Ratio of what two customers were given above which the one that had more is held
#: back while the other goes short; well below two, at which it would stand out.
HELD_RATIO = 1.25
#: Share of an engine's memory that running requests may fill; more makes
#: engines preempt requests.
MEMORY_SHARE = 0.9
#: Share of an engine's slots that is used; the rest covers calls that other
#: routers have just sent.
SLOT_SHARE = 0.5
#: Tokens of shared parts that are assumed to stay in a target's memory, as a
#: share of it.
CACHE_SHARE = 0.7
#: Calls that wait are told to peers by when they must start, ms from now.
SLACK_CLASSES_MS = (100.0, 250.0, 500.0, 1_000.0)
#: Weight of tokens that would have to be read again when targets are compared.
REREAD_WEIGHT = 3.0
#: Weight of a running request when targets are compared, ms; a step of an
#: engine takes about a tenth of a ms longer with each, for each of its tokens.
RUNNING_PENALTY_MS = 3.0
#: Hashes of parts and targets that are kept; some targets for each part in use.
RANK_CACHE = 8_192
#: Weight of the agreed order of targets when they are compared, ms.
AFFINITY_MS = 150.0
#: Calls wait for a first answer as long as this many times their aim before
#: they are refused.
LATE_LIMIT_AIMS = 2.5
#: The same for calls beyond their customer's share.
SPARE_LIMIT_AIMS = 1.0
#: Plain targets are sent this many times their slots at most.
PLAIN_ROOM = 1.0
#: Bounds of Retry-After, s.
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 4.0

# -- overload of the process -----------------------------------------------------
#: Timers that fire later than this mean that the process does not keep up, ms; a
#: call takes some rounds of the loop, which are below its latency target then.
LAG_LIMIT_MS = 50.0
#: Part of the lag that is still believed after a timer that was in time.
LAG_DECAY = 0.8

# -- peers --------------------------------------------------------------------
#: Loads are told to peers this often, ms.
PEER_INTERVAL_MS = 30
#: What a peer said is dropped after this long, ms; some lost datagrams.
PEER_STALE_MS = 1_000
#: Everything is told again this often, ms; makes good what was lost.
PEER_REFRESH_MS = 500
#: Refreshes that tell of a target or queue with nothing of this router.
PEER_IDLE_REPEATS = 2
#: Peers up to which loads are told at the full rate; beyond it the interval
#: grows with their number, so that what a router hears stays bounded.
PEER_FANOUT = 10
#: Largest datagram, bytes; below the usual Ethernet frame.
PEER_DATAGRAM_BYTES = 1_400
#: Room for the largest datagram that a peer may send, bytes.
PEER_RECEIVE_BYTES = 65_536
#: Datagrams that are taken in one round of the loop, so that calls have their turn.
PEER_READ_LIMIT = 500
#: Peers are asked for the configuration this often while the store is away, ms.
PEER_CONFIG_INTERVAL_MS = 500
#: Longest wait for a peer's configuration, ms.
PEER_CONFIG_TIMEOUT_MS = 800

# -- following the store --------------------------------------------------------
#: Routers that wait at the store for changes; two may fail at once.
STORE_READERS = 3
#: A read at the store waits this long for a change, ms; with the answer's slack
#: it bounds how late a connection that went silent is noticed, which must stay
#: below the time in which changes take effect.
FEED_WAIT_MS = 1_000
#: A router reads the store itself when a change that a peer knows did not reach
#: it for this long, ms; some intervals between peers.
FEED_GAP_MS = 120
#: Pause after a call to the store that failed, ms.
FEED_RETRY_MS = 300
#: The same where other routers read the store.
FEED_FOLLOWER_RETRY_MS = 1_500

# -- stopping -----------------------------------------------------------------
#: New work is still taken for this long after SIGTERM, ms: the entry needs two
#: missed questions, a second apart, to stop sending callers here.
STOP_TAKES_WORK_MS = 2_600
#: Part of the grace that is left unused, ms, to write what is ready and to leave
#: the platform's list, also where the store does not answer.
STOP_RESERVE_MS = 900
#: The process stays at least this long after SIGTERM, ms, to answer callers
#: that the entry still sends.
STOP_LEAST_MS = 3_200

# -- logs ---------------------------------------------------------------------
#: Lines that wait for standard output before new ones are counted and dropped.
LOG_QUEUE_LINES = 2_000
#: Lines written a second for each process, beyond which they are dropped.
LOG_LINES_PER_S = 400
#: Waiting lines are written this often, ms.
LOG_FLUSH_MS = 100
#: A stopping process looks whether it is done this often, ms.
STOP_POLL_MS = 50
#: Idle connections to targets are looked at this often, ms.
POOL_EXPIRE_MS = 500
