"""Define intervals, limits and sizes; a name ends with its unit if it has one."""

# -- links between processes -----------------------------------------------
WIRE_VERSION = 1
WIRE_VERSION_OLDEST = 1
FLUSH_INTERVAL_MS = 3
RECEIVE_PAUSE_MS = 2
ACK_DELAY_MS = 1_000
# Longer than ACK_DELAY_MS: a delayed acknowledgement is no reason to retransmit.
RETRANSMIT_AFTER_MS = 1_500
REDIAL_AFTER_MS = 2_000
PEER_LOST_AFTER_MS = 4_000
HEARTBEAT_INTERVAL_MS = 1_000
LINK_IDLE_CLOSE_MS = 30_000
LINK_EXPIRY_MS = 3_600_000
SOCKET_BUFFER_MESSAGES = 1_024

# -- fair queueing -----------------------------------------------------------
INITIAL_OUTPUT_ESTIMATE_TOKENS = 256.0
ESTIMATE_SMOOTHING = 0.2
# Entries in each table of cost estimates, retry budgets and processed crashes.
STATE_TABLE_LIMIT = 4_096
EXCHANGE_INTERVAL_MIN_MS = 500
EXCHANGE_INTERVAL_MAX_MS = 4_000
EXCHANGE_BUDGET_BYTES_PER_S = 1_000
EXCHANGE_BYTES_PER_PEER = 220
EXCHANGE_BYTES_PER_CUSTOMER = 45
VIRTUAL_TIME_STEP_UNITS = 1.0
DEFAULT_PROMPT_WEIGHT = 0.1
BYTES_PER_PROMPT_TOKEN = 4
OFFER_FANOUT_FIRST = 3
OFFER_FANOUT_DOUBLE_AFTER_MS = 100
OFFER_FANOUT_LIMIT = 8
OFFER_COALESCE_MS = 10
OFFER_REQUEST_INTERVAL_MIN_MS = 250
OFFER_REQUEST_INTERVAL_MAX_MS = 5_000
OFFER_REQUEST_ROUTERS = 2
PULL_TIMEOUT_MS = 2_000

# -- requests ----------------------------------------------------------------
DEFAULT_DEADLINE_MS = 120_000
DEFAULT_MAX_QUEUED_PER_CUSTOMER = 1_000
DEFAULT_MAX_BODY_BYTES = 1_048_576
RETRY_AFTER_S = 1
# Characters of a caller's text that a message repeats.
QUOTED_CHARS = 200
DISPATCH_TICK_MS = 50
BUSY_GATE_BACKOFF_MS = 500
LOST_GATE_PROBE_MS = 1_000
WAIT_SMOOTHING = 0.1
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_BURST = 10.0
MAX_ATTEMPTS = 4
ORPHAN_GRACE_MS = 5_000

# -- what callers of the HTTP interface may send and hold ----------------------
MAX_HEADER_BYTES = 16_384
RECEIVE_TIMEOUT_MS = 60_000
# Fraction of a process's descriptors for callers' connections, and their upper limit.
CONNECTIONS_FRACTION = 0.65
CONNECTIONS_LIMIT = 20_000
# Connections accepted in one iteration of the event loop; the kernel keeps more.
ACCEPTED_AT_ONCE = 8
ACCEPT_BACKLOG = 1_024
# Memory of a process that holds nothing for callers, MB; the part of the rest that
# callers may hold, the least, and the part of that which is divided among customers.
# The other part is for copies that are made while a request is passed on.
MEMORY_RESERVE_MB = 80.0
HELD_FRACTION = 0.3
HELD_MIN_MB = 8.0
HELD_PARTS_FRACTION = 0.75
# Memory of a connection, of a request, and of a line of its head beside its bytes,
# while it is received and while the interface, the request and its headers to the
# target hold it.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 8_192
RECEIVED_LINE_BYTES = 200
HEADER_LINE_BYTES = 800
HEAD_COPIES = 4
BODY_COPIES = 2
# Largest stated length that is reserved when a head is admitted; the body is counted
# as it comes.
BODY_LIMIT_BYTES = 1_048_576
# Requests that wait on a connection before its input is no longer parsed, and bytes
# that the parser gets at once.
PIPELINED_REQUESTS = 4
PARSED_BYTES = 16_384
# Time for which a caller may read a refusal while it still sends, s.
REFUSAL_LINGER_S = 1.0
# Bytes of the request line beside its target and of the line that ends the head, of
# empty lines before a request, of chunk framing and trailers without a byte of the
# body, and on the wire for each byte of a chunked body beyond that.
REQUEST_LINE_BYTES = 64
EMPTY_LINE_BYTES = 1_024
FRAMING_BYTES = 16_384
FRAMING_FACTOR = 16

# -- platform ----------------------------------------------------------------
CONFIG_STREAM = "config"
INCIDENT_STREAM = "incidents"
ORDER_STREAM = "orders"
CLAIM_STREAM_PREFIX = "claims."
LOG_POLL_WAIT_MS = 5_000
LOG_READ_TIMEOUT_MS = 8_000
LOG_APPEND_TIMEOUT_MS = 2_000
LOG_READ_LIMIT_RECORDS = 500
LOG_RETRY_MS = 300
# Clients close idle connections before servers usually do, see Node.start().
HTTP_KEEP_ALIVE_TIMEOUT_S = 2
VM_LIST_POLL_MS = 1_000
VM_LIST_STALE_MS = 5_000
CONFIG_PEER_REQUEST_INTERVAL_MS = 1_500
SNAPSHOT_EVERY_RECORDS = 500

# -- at-most-once execution --------------------------------------------------
CLAIM_PARTITIONS = 8
CLAIM_BATCH_WINDOW_MS = 50
CLAIM_TIMEOUT_MS = 5_000
CLAIM_CLOSE_RETRY_MS = 2_000
CLAIM_TICK_MS = 500
CLAIM_OUTCOME_BODY_LIMIT_BYTES = 65_536
CLAIM_COMPACTION_AFTER_RECORDS = 1_000
CLAIM_COMPACTION_CHUNK_KEYS = 500

# -- quarantine of requests that crash targets -------------------------------
QUARANTINE_MS = 600_000
SUSPECT_MS = 60_000
# Independent crashes after which a trait of requests is quarantined; one may be chance.
QUARANTINE_CRASHES = 2
# First time in quarantine, which doubles with each further crash, and its limit.
QUARANTINE_FIRST_MS = 15_000
QUARANTINE_LIMIT_MS = 600_000
# Time for the answer to a probe, the request that tries a quarantine that has ended.
QUARANTINE_PROBE_MS = 15_000
# Time from its first part on after which a response counts as answered.
SETTLE_MS = 250
# Crashes that are remembered, for how long, and the traits remembered of each: as many
# as a request's header of 16 KB has room for, 4 bytes each.
CRASH_RECORDS = 64
CRASH_RECORD_MS = 600_000
CRASH_TRAITS = 4_096
# Traits that are remembered of all crashes together, about 100 bytes of memory each.
CRASH_TRAITS_TOTAL = 32_768
# Traits in one report of a crash; it fits into a datagram.
CRASH_REPORT_TRAITS = 128
# Traits and parts of prompts that a log line about a crash names.
CRASH_LOG_TRAITS = 32

# -- rate limits of targets ----------------------------------------------------
# Lowest rate that is kept, also for a limit of zero: the next answer tells its end.
RATE_LIMIT_PROBES_PER_S = 0.2
# Requests that a router may save up, and the same as a time at its rate, s.
RATE_LIMIT_BURST = 2.0
RATE_LIMIT_BURST_S = 0.25
# Fraction of its savings that a router keeps for the requests that need them most.
RATE_LIMIT_RESERVE = 0.8
# Fraction of the routers' mean demand below which one gets no part of a limit.
RATE_LIMIT_DEMAND_FLOOR = 0.1
# Rounds in which the parts of limits are fitted to the routers' demand.
RATE_LIMIT_FITTING_ROUNDS = 8

# -- pauses that targets ask for -------------------------------------------------
# Longest time for which a target that names it gets no requests, s.
PAUSE_LIMIT_S = 600.0

# -- background tasks, monitoring and target agents ----------------------------
LOOP_RESTART_DELAY_MS = 200
EVENT_RING_SIZE = 20_000
# Multiple of the time that metrics or events took to render for which they are reused.
RENDERING_REUSE_FACTOR = 4.0
METRIC_CUSTOMERS_LIMIT = 64
SHUTDOWN_LIMIT_MS = 60_000
TARGET_POLL_MS = 500
TARGET_FAILURES_UNTIL_DOWN = 2
TARGET_CONNECT_TIMEOUT_MS = 2_000
TARGET_READ_TIMEOUT_MS = 5_000
TARGET_RESUME_ATTEMPTS = 3
FINISHED_ATTEMPT_RETENTION_MS = 60_000
FINISHED_ATTEMPTS_LIMIT = 2_000
# Largest responses of the log service and of the VM list.
LOG_BODY_LIMIT_BYTES = 8_388_608
VM_LIST_LIMIT_BYTES = 4_194_304
# What all reads of one of them hold together, and what each may hold beyond that.
PLATFORM_READ_BYTES = 16_777_216
PLATFORM_READ_BYTES_EACH = 65_536
# Largest reply of a process to the command line, and of all processes together.
FLEET_REPLY_LIMIT_BYTES = 16_777_216
FLEET_REPLIES_BYTES = 268_435_456
BODY_CHUNK_BYTES = 65_536
# Largest load report or body of a failed response, event of a stream, and response of a
# plain service that an agent accepts; a target in trouble may send bytes without end.
TARGET_SHORT_BODY_LIMIT_BYTES = 65_536
TARGET_EVENT_LIMIT_BYTES = 262_144
TARGET_BODY_LIMIT_BYTES = 16_777_216
# What an agent keeps of the responses of a plain service, all attempts together, and
# what each may keep once that is exceeded.
AGENT_RETAINED_BYTES = 33_554_432
AGENT_RETAINED_BYTES_EACH = 65_536
AGENT_FLUSH_INTERVAL_MS = 3

# -- orders to targets ---------------------------------------------------------
ORDER_TICK_MS = 500
ORDER_TAKE_OVER_MS = 5_000
ORDER_READ_MAX_AGE_MS = 500
ORDER_TIMEOUT_MS = 30_000
ORDER_TARGET_TIMEOUT_MS = 60_000
MAX_CONCURRENT_ORDERS = 2
