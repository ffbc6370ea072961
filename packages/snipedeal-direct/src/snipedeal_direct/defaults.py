"""Constants of the direct router, with their units and reasons."""

# -- caller connections -------------------------------------------------------
#: Response bytes buffered for a slow caller before reading from the target pauses;
#: enough for an event stream during several round trips.
CALLER_BUFFER_BYTES = 262_144
#: Pipelined requests queued on one caller connection before reading pauses.
PIPELINED_LIMIT = 4
#: Listen backlog, connections; the usual limit of the kernel.
ACCEPT_BACKLOG = 1_024
#: Connections accepted in one iteration of the event loop; those beyond the limit of
#: connections close a few iterations later.
ACCEPTED_AT_ONCE = 8

#: Fraction of a process's file descriptors for caller connections; the rest is for
#: connections to targets, files and peers.
CALLER_DESCRIPTOR_FRACTION = 0.65
#: Maximum connections to the listener for peers; all routers may request a
#: configuration at the same time.
INTERNAL_CONNECTIONS = 400
#: The same for the readiness probe and the metrics, which few clients read; with 400
#: each, the smallest VM's 1,638 descriptors could all be taken.
OPERATOR_CONNECTIONS = 64
#: Fraction of the maximum caller connections above which connections are closed
#: after their response.
CLOSE_AFTER_RESPONSE_FRACTION = 0.75

# -- memory for callers and targets -------------------------------------------
#: Memory of a VM if the settings name none, MB: that of the smallest.
MAX_MEMORY_MB = 160.0
#: Memory of a process that holds nothing for callers, MB: 36 measured with one target,
#: and room for the records of a large fleet and what the allocator does not return.
MEMORY_RESERVE_MB = 80.0
#: Fraction of the rest that the account may reach, and its least limit, MB.
ACCOUNT_FRACTION = 0.7
ACCOUNT_MIN_MB = 12.0
#: Fraction of the limit up to which large bodies are received; the rest is for requests
#: that hold little.
MEMORY_BODY_FRACTION = 0.92
#: Fraction of the limit above which connections that hold much without progress close.
MEMORY_TIGHT_FRACTION = 0.75
#: Fraction of the limit up to which a customer's bodies may take what is free. Beyond
#: it, a customer keeps to an equal part of what is held before memory is tight.
MEMORY_OWNER_FRACTION = 0.6
#: What a connection may hold while large bodies are refused, bytes; a usual request.
MEMORY_EACH_BYTES = 16_384
#: Part of the limit that responses of targets, peers and the store may take.
MEMORY_RESPONSES_FRACTION = 0.5
#: Interval of checks for progress, ms, and the bytes in it below which a connection has
#: made none; a caller at 4 kB/s takes a quarter of an hour for the largest body.
STALL_CHECK_MS = 1_000.0
STALL_BYTES = 4_096
#: Shortest time between two searches for connections to close, ms.
RELIEF_INTERVAL_MS = 50.0
#: Interval of the log line on connections that were closed, ms.
CLOSED_LOG_INTERVAL_MS = 1_000.0
#: Memory of a caller's connection, bytes, and of a request beside its bytes.
CONNECTION_BYTES = 8_192
REQUEST_OVERHEAD_BYTES = 512
#: Buffer into which all connections of a listener receive, bytes.
RECEIVE_BYTES = 65_536
#: Bytes that the parser gets at once; limits are checked in between.
PARSED_BYTES = 16_384
#: Part of a request's body that is written to a target at once, bytes; a body up to
#: that size goes out together with its head.
SENT_PART_BYTES = 65_536
#: Bytes of the request line beside its target, and of the line that ends the head.
REQUEST_LINE_BYTES = 64
#: Maximum size of empty lines before a request, bytes.
EMPTY_LINE_BYTES = 1_024
#: Maximum size of chunk framing and trailers without a byte of the body, bytes, unless
#: heads may be larger; and the bytes on the wire for each one of the body beyond that:
#: 6 for a chunk of one byte.
FRAMING_BYTES = 16_384
FRAMING_FACTOR = 16

# -- target connections -------------------------------------------------------
#: Connect timeout, ms; several hundred round trips within a region, and shorter than
#: the delay before a lost SYN is first retransmitted.
CONNECT_TIMEOUT_MS = 600
#: A connection with unacknowledged data is closed after this, ms (TCP_USER_TIMEOUT);
#: several retransmissions within a region.
UNACKNOWLEDGED_LIMIT_MS = 2_500
#: TCP keep-alive: idle time before the first probe, s; interval, s; number of
#: probes.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
#: Rendered status lines that are kept.
STATUS_LINES = 128
#: Idle timeout of pooled connections if the target announces none, s.
DEFAULT_IDLE_REUSE_S = 4.0
#: Fraction of a target's idle timeout within which its connection is reused.
IDLE_REUSE_FRACTION = 0.7
#: Requests that may run only once reuse connections idle for less than this, s; the
#: longer a connection is idle, the likelier it was dropped without notice.
AT_MOST_ONCE_REUSE_S = 1.5
#: Largest response that is buffered until it is complete, bytes.
BUFFERED_RESPONSE_BYTES = 262_144
#: Response bytes queued for the forwarding task before reading pauses.
RESPONSE_QUEUE_BYTES = 262_144
#: Maximum size of response headers, bytes; the common limit of HTTP servers. It also
#: bounds what else a target may send without a byte of the body, such as trailers.
RESPONSE_HEADER_BYTES = 65_536
#: Maximum number of response headers; each takes more memory than its bytes.
RESPONSE_HEADERS = 256
#: Received bytes that all connections to targets, peers and the store hold together,
#: and what a connection may hold once that is exceeded; beyond it the connection is
#: closed. A small router has 200 MB.
RECEIVED_BYTES = 33_554_432
RECEIVED_BYTES_EACH = 16_384
#: Headers of a request up to which each one is an object; more are held as one block.
LISTED_HEADERS = 64
#: Memory of a header and of a buffered part of a body beside its bytes.
HEADER_OVERHEAD_BYTES = 200
PART_OVERHEAD_BYTES = 64
#: Maximum size of a configuration that another router sends, bytes; that of a call's
#: records at the store.
PEER_CONFIG_BYTES = 2_097_152
#: Time for the body of a response that declines a request, ms; its connection is closed
#: after that, and the request goes to another target.
DECLINED_BODY_MS = 100
#: Maximum size of one event of a stream, bytes.
EVENT_BYTES = 262_144

#: Longest time for which an idle connection is kept, s, whatever the target names.
IDLE_REUSE_LIMIT_S = 3_600.0
#: Parts of a prompt that are kept one by one; those of a longer one are kept in groups.
PROMPT_PARTS = 64
#: Longest identifier of a part that is kept, characters; longer ones are hashed.
PART_ID_CHARS = 32
#: Memory of a part of a prompt that waits, bytes.
PROMPT_PART_BYTES = 160
#: Part of the VM's memory for the estimates of targets' prefix caches, and the memory
#: of an entry, bytes.
PREFIX_MEMORY_FRACTION = 0.15
PREFIX_ENTRY_BYTES = 240
#: Largest number of tokens of a prompt, its output or one of its parts.
PROMPT_TOKENS_LIMIT = 1_000_000_000
#: Delay before a failed background task is started again, ms.
TASK_RESTART_MS = 200

# -- forwarding ---------------------------------------------------------------
#: Part of the timeout reserved for answering the caller before it disconnects, ms.
FINAL_ANSWER_RESERVE_MS = 60
#: Targets that may decline one request or be unreachable; after one more the router
#: gives up. Each send after a decline counts against the retry budget.
DECLINED_LIMIT = 2

# -- target health ------------------------------------------------------------
#: First ejection time of an unreachable target, ms, and its upper limit; the time
#: doubles with each further connect failure in a row.
UNREACHABLE_EJECTION_MS = 400
UNREACHABLE_EJECTION_LIMIT_MS = 3_000
#: Fraction of a service's targets up to which they are ejected because connects time
#: out; beyond it the router's own link is at fault. Not for services with fewer other
#: targets, where a second one may well be lost.
TIMEOUT_EJECTION_FRACTION = 0.5
TIMEOUT_EJECTION_TARGETS = 8
#: Ejection time of a target whose address another one has taken over, ms; by then
#: its registration has been removed.
REPLACED_EJECTION_MS = 5_000
#: Weight of the newest answer in a target's smoothed share of failed answers.
FAILURE_SMOOTHING = 0.15
#: Smoothed share of failed answers above which a target counts as failing.
FAILURE_FRACTION_LIMIT = 0.3
#: Fraction of a failing target's usual capacity still used, to detect its recovery.
FAILING_CAPACITY_FRACTION = 0.1
#: Half-life of the share of failed answers while no new ones arrive, ms.
FAILURE_HALF_LIFE_MS = 2_000

# -- crashes of targets -------------------------------------------------------
#: Longest time for which the retry of a call is held whose target crashed before it
#: answered, ms; about a response time, in which parts in use are cleared.
RETRY_HOLD_MS = 500.0
#: Timeout of the connect that tells a crashed target from a reset connection, ms.
CRASH_PROBE_TIMEOUT_MS = 300

# -- what targets say of themselves --------------------------------------------
#: Instances of targets of which a finding is kept, and for how long, ms. A target that
#: leaves is gone well before that; a new one has another start time.
FINDINGS_LIMIT = 4_096
FINDING_KEPT_MS = 600_000.0
#: Time after a pause in which a target's capacity becomes usable again, ms, and the
#: fraction of it that is usable at first.
PAUSE_RAMP_MS = 1_000.0
PAUSE_RAMP_START = 0.1

# -- cold targets and evacuated zones -------------------------------------------
#: Requests a second of each router that sends to a cold target, at most. It bounds what
#: one router more adds where two know different routers.
COLD_SENDER_RATE = 2.0
#: Time after which a registration reaches a router at the latest, ms.
REGISTRATION_AGE_MS = 1_000.0
#: Time after a failed connect or a crash in which routers that don't send to a cold
#: target don't try whether it is back, ms; a target that lives registers meanwhile.
LOST_TARGET_MS = 5_000.0
#: Availability zones of which a word of the operator is kept.
EVACUATIONS_LIMIT = 64

# -- queueing at the router ---------------------------------------------------
#: Shortest delay from an event to the next dispatch, ms; batches events.
DISPATCH_DELAY_MS = 2
#: Longest interval between dispatches while calls are queued, ms.
DISPATCH_TICK_MS = 20
#: Fraction of CPU time that dispatches may use before they become less frequent; the
#: rest is for responses in progress.
DISPATCH_CPU_FRACTION = 0.25
#: Calls considered in one dispatch, from the head of the queue; bounds its run time
#: to a few ms with dozens of targets.
DISPATCH_LOOK_AHEAD = 24
#: Time for which arrivals share one estimate of the queue and the targets, ms; less
#: than the age of what peers report.
OUTLOOK_MS = 10.0
#: Calls that may be queued for one service at a router, about 15 KB of memory each.
QUEUE_LIMIT = 400
#: Pending prefill allowed at one engine, ms; covers the age of the load reports
#: that routers have of each other, so that engines do not idle.
ENGINE_BACKLOG_MS = 150.0
#: Assumed prefill rate of an engine before any measurement, tokens per ms.
INITIAL_PREFILL_RATE = 40.0
#: Bounds of the measured prefill rate, tokens per ms.
PREFILL_RATE_RANGE = (4.0, 400.0)
#: Weight of the newest measurement in the prefill rate that a router smooths by itself.
PREFILL_RATE_SMOOTHING = 0.05
#: Time constant of the measurements of a target's prefill rate, ms; a target that turns
#: slow is noticed within seconds, short disturbances are averaged.
PREFILL_RATE_WINDOW_MS = 5_000.0
#: Prefill time for which the usual rate of the service counts as evidence, ms.
PREFILL_RATE_PRIOR_MS = 100.0
#: Assumed time from the end of the prefill to the first event in an idle engine, ms.
FIRST_EVENT_MS = 30.0
#: An engine without pending prefill and with less than this fraction of its slots in
#: use counts as idle: a call that exceeds its customer's share is sent to it regardless
#: of the call's own prefill.
IDLE_SLOT_FRACTION = 0.06
#: Fraction of slots in use from which an engine gets no deferred calls, which must
#: yield to a customer that was served much less; pending prefill counts as all slots
#: in use.
DEFERRAL_SLOT_FRACTION = 0.2
#: Fraction of a target's capacity that calls may use, by tier (``shares.Tier``).
TIER_CAPACITY_FRACTIONS = (1.0, 0.8, 0.6)
#: Part of a target's usual limits beyond which a customer may go that used nothing
#: lately; the part falls to zero for the customer that used most. A customer that is
#: behind finds capacity where others do not, however few routers it reaches.
SHORTFALL_HEADROOM = 0.5
#: A customer counts as underserved for this long after one of its calls was refused,
#: ms; its callers retry within about that time.
UNDERSERVED_MS = 1_000.0
#: Ratio of two customers' usage above which calls of the one with more are deferred
#: while the other is underserved; well below two, which would be noticeably unfair.
DEFERRAL_USAGE_RATIO = 1.25
#: Fraction of an engine's memory that running requests may fill; more makes engines
#: preempt requests.
MEMORY_FRACTION = 0.9
#: Fraction of an engine's slots that may be used while nothing is known of the pauses
#: in its streams.
SLOT_FRACTION = 0.5
#: The same while they are short; the rest covers calls that other routers have just
#: sent.
SLOT_FRACTION_LIMIT = 0.9
#: Part of the longest acceptable pause that mean pauses may reach; single pauses are
#: several times as long when a prompt is prefilled meanwhile.
PAUSE_FRACTION = 0.4
#: Time constant of the smoothed pauses, ms; longer than an engine's short disturbances.
PAUSE_WINDOW_MS = 1_000.0
#: Least weight of a pause in the smoothed one.
PAUSE_SMOOTHING_MIN = 0.002
#: Time for which measured pauses tell something of a target, ms.
PAUSE_EVIDENCE_MS = 3_000.0
#: Fraction of a target's memory in which the prefix cache is assumed to keep prompt
#: parts.
CACHE_FRACTION = 0.7
#: Upper bounds of the slack classes by which queued tokens are reported to peers, ms
#: until the latest start.
SLACK_CLASSES_MS = (100.0, 250.0, 500.0, 1_000.0)
#: Weight of uncached tokens when targets are compared without learned costs; computing
#: them again wastes capacity.
UNCACHED_TOKEN_WEIGHT = 3.0
#: Weight of shared tokens that a target has not cached when targets are compared, in
#: addition to the time of their prefill; computing them again wastes capacity.
REPEATED_TOKEN_WEIGHT = 2.0
#: Weight of a running request when targets are compared, ms; each one lengthens an
#: engine step by about 0.1 ms, and every output token takes one step.
RUNNING_PENALTY_MS = 3.0
#: Weight of the time that an engine still has to generate for running streams, when
#: targets are compared; a new call shares that time with them and does not wait for it.
#: More makes more prompt parts be read again, see docs/design/placement.md.
GENERATION_WEIGHT = 0.25
#: Time constant of the costs of calls that have ended, ms; long enough for several
#: calls of a customer with one every few seconds.
COST_WINDOW_MS = 30_000.0
#: Calls that must have ended before their costs say something.
COST_EVIDENCE_CALLS = 3.0
#: Calls for which the cost of a route counts beside a customer's own calls.
COST_PRIOR_CALLS = 8.0
#: Bounds of the expected output, as multiples of the mean of such calls.
COST_MEAN_RANGE = (0.25, 8.0)
#: Customers with routes whose costs are kept for a service, about 0.4 KB each; more
#: than have calls at one router within a few time constants.
COST_CUSTOMERS_LIMIT = 4_096
#: Routes whose costs are kept for a service.
COST_ROUTES_LIMIT = 256
#: Part of the expected output that a stream beyond it is still expected to have; those
#: that are longer than hinted are often much longer.
COST_OVERRUN_FRACTION = 0.25
#: Events to which the reported remaining ones are rounded.
REPORTED_EVENTS_STEP = 16
#: Bounds of the speed of a target for calls without prompts, relative to the service's.
WORK_SPEED_RANGE = (0.1, 10.0)
#: Part of the pause between events that grows with the requests that run, without
#: evidence, and the sum of squared relative deviations for which it counts as evidence;
#: five samples of 10%.
STEP_SHARE = 0.5
STEP_SHARE_VARIANCE = 0.05
#: Least part of it; no request is free.
STEP_SHARE_LEAST = 0.05
#: Weight of the newest sample of pauses, each ``LIMITS_INTERVAL_MS``, in the means with
#: which samples are compared.
STEP_SMOOTHING = 0.03
#: The same in the cost of a running request, which then changes within 2 s, but little
#: in disturbances of a few hundred ms.
STEP_COST_SMOOTHING = 0.3
#: Cost of a target without a rate limit, ms, for a prompt of twice the mean length,
#: while other targets name one.
UNLIMITED_WEIGHT_MS = 150.0
#: Weight of the newest prompt in the smoothed length of a service's prompts.
MEAN_TOKENS_SMOOTHING = 0.02
#: Cached rendezvous hashes; several targets for each prompt part in use.
RENDEZVOUS_CACHE_ENTRIES = 8_192
#: Weight of the rendezvous hash when targets are compared, ms; all routers compute
#: the same hash, so that prompts with a shared part tend to get the same target.
AFFINITY_WEIGHT_MS = 150.0
#: Calls are refused if their expected time to the first event exceeds their latency
#: target by this factor.
LATENCY_LIMIT_FACTOR = 2.5
#: The same for calls that exceed their customer's configured share.
OVER_SHARE_LATENCY_LIMIT_FACTOR = 1.0
#: Longest gap in a stream for which its resumption waits, ms; callers give up after it.
RESUMPTION_WAIT_MS = 2_000.0
#: Maximum concurrent requests for each slot of a target without a model engine.
PLAIN_REQUESTS_PER_SLOT = 1.0
#: Bounds of ``Retry-After``, s.
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 4.0

# -- overload of the process --------------------------------------------------
#: Event loop lag above which the process counts as overloaded, ms: the usual period of
#: processor quotas, since a process that has used up its quota pauses for the rest of
#: the period without being behind.
LAG_LIMIT_MS = 100.0
#: Fraction of the lag that remains after a timer that fired on time.
LAG_DECAY = 0.8
#: Factor of the lag limit above which calls of all customers are refused.
SHED_ALL_LAG_FACTOR = 2.5
#: Time over which the calls of customers at an overloaded router are compared, ms.
SHED_WINDOW_MS = 1_000.0
#: Fraction of time that the event loop may be busy; the rest absorbs bursts.
BUSY_FRACTION_LIMIT = 0.9
#: Time for admitted calls that may be used at once, ms; it adds to the lag.
ADMISSION_BURST_MS = 150.0
#: Fraction of time for reading and refusing requests while the admitted calls need the
#: rest; more is used while they leave it.
INTAKE_FRACTION_MIN = 0.4
#: Of so many requests that were left unread, one that is read is the oldest, the others
#: are the latest.
INTAKE_OLDEST_EVERY = 4
#: Time for reading requests that may be used at once, ms.
INTAKE_BURST_MS = 20.0
#: Delay until requests that were left unread are read, ms.
INTAKE_DELAY_MS = 5.0
#: Bytes of a caller that may be left unread in the process, with the overhead of each
#: piece; more stay in the socket.
INTAKE_BUFFER_BYTES = 65_536
#: Customers with less than this fraction of the largest fair number of admitted calls
#: may use a reserve of another such time.
LIGHT_SHARE_FRACTION = 0.5
#: Least fraction of time for admitted calls, whatever else takes.
SERVING_FRACTION_MIN = 0.1
#: Largest factor by which more calls are admitted while the event loop is idle.
UNUSED_RATE_LIMIT = 2.0
#: Calls refused in such a window from which on a process that refuses more than it
#: admits is short of time; those, and the part of the admitted calls, up to which it is
#: no longer.
SHORTAGE_CALLS = 20.0
SHORTAGE_END_CALLS = 10.0
SHORTAGE_END_FRACTION = 0.1
#: Part of the routers that must have time for one that is short of it to send new
#: connections to the others.
PEERS_WITH_TIME_FRACTION = 0.75
#: Interval at which the time for admitted calls is computed, ms: the usual period of
#: processor quotas.
ADMISSION_INTERVAL_MS = 100.0
#: Weight of the newest interval in the smoothed part of the time for admitted calls.
ADMISSION_SMOOTHING = 0.3
#: Assumed time that an admitted call takes before any was measured, ms.
INITIAL_SERVING_MS = 8.0
#: Weight of the newest call in the smoothed time that a call takes.
SERVING_SMOOTHING = 0.05
#: Largest multiple of that time that one call counts for.
SERVING_SAMPLE_LIMIT = 5.0
#: Part of the time that must have been measured for calls to tell what else they cause,
#: and the largest multiple of it that is believed.
SERVING_MEASURED_MIN = 0.02
SERVING_OVERHEAD_LIMIT = 5.0
#: Least assumed time of an admitted call, ms.
SERVING_MIN_MS = 0.2

# -- peers --------------------------------------------------------------------
#: Interval between load reports to peers, ms.
PEER_INTERVAL_MS = 30
#: Interval between updates of the customers' shares, ms; about the age of the reports
#: of two dozen peers.
SHARES_INTERVAL_MS = 90
#: Interval at which the parts of rate limits follow the routers' demand, ms.
LIMITS_INTERVAL_MS = 500
#: A peer's reports expire this long after its last one, ms; tolerates the loss of
#: several datagrams.
PEER_STALE_MS = 1_000
#: Interval between full reports, ms; they make up for lost datagrams.
PEER_REFRESH_MS = 500
#: Times that a router sends its own findings of a crash or a rate limit again, one
#: report interval apart; a datagram may be lost.
FINDING_RESENDS = 2
#: Routers that repeat a finding with each refresh.
FINDING_REPEATERS = 3
#: Time for which the end of a rate limit is repeated, ms, and the leaving of a target
#: that is not registered.
LIMIT_END_REPEAT_MS = 20_000.0
#: Times that the report of an idle target or queue is sent, the first included; more
#: than one, since datagrams may be lost.
PEER_IDLE_REPEATS = 2
#: Peers up to which load is reported at the full rate; beyond it the interval grows
#: with their number, so that the report traffic at a router stays bounded.
FULL_RATE_PEERS = 10
#: Encoded size of the reports in a datagram at which no more are added, bytes; below
#: the usual Ethernet frame. Larger records are not forwarded but read from the store.
PEER_DATAGRAM_BYTES = 1_400
#: Receive buffer for the largest datagram that a peer may send, bytes.
PEER_RECEIVE_BYTES = 65_536
#: Datagrams read in one iteration of the event loop, so that calls are not starved.
PEER_READ_LIMIT = 500
#: Interval of checks for peers with a newer configuration, which is then requested
#: from one of them, ms.
PEER_CONFIG_INTERVAL_MS = 500
#: Timeout of a configuration request to a peer, ms.
PEER_CONFIG_TIMEOUT_MS = 800

# -- joining the fleet ---------------------------------------------------------
#: Longest time for which a router that has started waits to hear from the routers that
#: are registered before its first configuration is in force, ms; a few report intervals
#: of a large fleet.
JOIN_WAIT_MS = 500
#: The same while a peer does not hand out the newer configuration that it announces, or
#: the registrations can't be read, ms.
JOIN_LIMIT_MS = 2_000
#: Interval at which a router checks whether it may join, ms.
JOIN_POLL_MS = 10
#: The same after it could not fetch the newer configuration of a peer, ms.
JOIN_RETRY_MS = 100

# -- store long polls ---------------------------------------------------------
#: Routers that long-poll the store for changes; two may fail at once.
STORE_READERS = 3
#: Wait of a long poll at the store, ms; together with the allowance for the response
#: it bounds how late a silent connection is detected, which must stay below the time
#: in which changes must take effect.
FEED_WAIT_MS = 1_000
#: The same for readers other than the first, and their pause after a read that returned
#: records, ms: they matter once the first is lost.
FEED_BACKUP_WAIT_MS = 2_000
FEED_BACKUP_PAUSE_MS = 400.0
#: A router reads the store itself if a change that a peer knows of has not reached it
#: within this time, ms; several report intervals.
FEED_GAP_MS = 120
#: Delay after a failed request to the store, ms; the first retry is made at once, since
#: the failure may be that of one connection.
FEED_RETRY_MS = 300
#: The same for a router that relies on others to read the store.
FEED_FOLLOWER_RETRY_MS = 1_500

# -- outages of the store -----------------------------------------------------
#: Shortest time without an answer of the store that counts as its outage, ms: two
#: heartbeats of a target. Registrations expire after three without one.
STORE_OUTAGE_MS = 2_400.0

# -- shutdown -----------------------------------------------------------------
#: New calls are still accepted for this long after SIGTERM, ms: the front load
#: balancer needs two failed health checks, a second apart, to stop routing here.
STOP_ACCEPT_MS = 2_600
#: Part of the grace period reserved, ms, for flushing responses and deregistering
#: from the platform, also if the store does not respond.
STOP_RESERVE_MS = 900
#: Shortest time from SIGTERM to exit, ms, to answer callers that the load balancer
#: still routes here.
STOP_MIN_MS = 3_200

# -- logs ---------------------------------------------------------------------
#: Longest text in a field of a log line, characters.
LOG_FIELD_CHARS = 500
#: Log lines queued for standard output; further ones are dropped and counted.
LOG_QUEUE_LINES = 2_000
#: Log lines per second and process beyond which those that name a request are dropped.
LOG_LINES_PER_S = 400
#: The same for requests that are refused.
REFUSAL_LOG_LINES_PER_S = 100
#: Interval at which queued log lines are written, ms.
LOG_FLUSH_MS = 100
#: Fraction of time in which the event loop is busy above which each interval of the
#: accounts has a line on what it did.
LOGGED_BUSY_FRACTION = 0.5
#: Interval between log lines about customers whose calls were refused, ms; and how many
#: customers of a service are named, those with most refused units first.
ACCOUNTS_INTERVAL_MS = 1_000
ACCOUNTS_LOGGED = 6

# -- periodic checks ----------------------------------------------------------
#: Interval at which a stopping process checks whether it is done, ms.
STOP_POLL_MS = 50
#: Interval at which expired idle connections to targets are closed, ms.
POOL_EXPIRE_MS = 500
