"""Constants of the scheduling policy."""

from __future__ import annotations

# Two random candidates remove most of the imbalance of a random choice; four leave
# enough of them when one is dead or draining.
RANDOM_CANDIDATES = 4
# A load report's weight is 1 when it arrives and halves with every half-life.
REPORT_HALF_LIFE_S = 2.0
# One-way latency between zones and between regions, from the platform's description.
ZONE_LATENCY_S = 0.001
REGION_LATENCY_S = 0.012
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
DEFAULT_OUTPUT_TOKENS = 200
BYTES_PER_TOKEN = 4

PREFIX_RECORDS_MAX = 50_000
PREFIX_HOLDERS_MAX = 4

QUEUE_CALLS_MAX = 512
# Share of the queue above which new programs are refused; the rest is reserved for
# programs under way.
NEW_PROGRAM_QUEUE_SHARE = 0.25
# A new program is refused if its expected wait exceeds this.
NEW_PROGRAM_WAIT_MAX_S = 0.5
# Attained service beyond this is ignored, which bounds the extra wait of a long
# program and so prevents its starvation.
ATTAINED_SERVICE_CAP_S = 30.0
ATTAINED_SERVICE_WEIGHT = 0.1
NEW_PROGRAM_DELAY_S = 2.0
INTERACTIVE_ADVANCE_S = 2.0
DEPTH_ADVANCE_S = 0.5
SERVICE_EWMA_WEIGHT = 0.1
DEFAULT_SERVICE_S = 1.0
RETRY_AFTER_MIN_MS = 200
RETRY_AFTER_MAX_MS = 30_000

# Target for the 95th percentile of the time between tokens.
TIME_PER_TOKEN_TARGET_S = 0.053
# The concurrency limit controls the mean, which must stay below the p95 target.
TIME_PER_TOKEN_MEAN_S = 0.96 * TIME_PER_TOKEN_TARGET_S
CONCURRENCY_INITIAL = 64
CONCURRENCY_MIN = 1
CONCURRENCY_MAX = 512
CONCURRENCY_WINDOW_S = 1.0
CONCURRENCY_DECREASE_FACTOR = 0.9
CONCURRENCY_GROWTH_SHARE = 0.1
# Excess of the first-token time over the expected prefill time above which the
# engine counts as queueing.
ENGINE_QUEUE_TARGET_S = 0.5

RETRY_RATIO = 0.1
RETRY_CONSTANT_PER_S = 1.0
RETRY_BALANCE_MAX = 100.0
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 5.0

BREAKER_FAILURES = 5
BREAKER_OPEN_S = 2.0
BREAKER_OPEN_MAX_S = 30.0
# An upstream with calls in flight that produces nothing for this long is hanging.
BREAKER_HANG_S = 5.0

FAIRNESS_SLACK_S = 10.0
LATE_CHECK_INTERVAL_S = 0.25

# Time per token of a nearly empty batch as a share of that of a full batch.
EMPTY_BATCH_TIME_SHARE = 0.35
# A prefill step also delays every decoding call of the batch. A weight of 1 led to
# 1.7e5 recomputed tokens where a weight of 10 led to 2.6e3.
RECOMPUTATION_WEIGHT = 10.0

# Value of one second of a program's latency and price of one byte of billed traffic,
# both in millionths of the same currency unit.
LATENCY_VALUE_MICRO_PER_S = 1_000.0
CROSS_REGION_PRICE_MICRO_PER_BYTE = 1.0
CROSS_REGION_BYTES_PER_S = 200_000.0
CROSS_REGION_BURST_S = 10.0

# Prompt tokens that may wait inside the engine: enough to keep it busy between the
# end of a call and the start of the next one.
ENGINE_PREFILL_TOKENS_MAX = 2_048
# Seconds by which a waiting call is ranked later per second of its prefill.
PREFILL_WEIGHT = 1.0
# Share of the upstream's memory that programs under way may hold before new programs
# are refused; the rest is reserved for their growth.
NEW_PROGRAM_MEMORY_SHARE = 0.95
# Share of the upstream's memory that running calls may hold; the rest is reserved for
# the cached prefixes of paused programs and for outputs longer than expected.
RUNNING_MEMORY_SHARE = 0.8

HEDGE_QUANTILE = 0.95
# Fewer samples are too few to estimate a 95th percentile.
HEDGE_SAMPLES_MIN = 50
HEDGE_DURATION_MIN_S = 0.001
HEDGE_OPERATIONS_MAX = 1_000

# The constants below apply to requests that are forwarded over HTTP.

# A round trip to another zone takes 2 ms and one to another region 24 ms; the rest of
# each cost stands for the price of the billed bytes of a conversation.
OTHER_ZONE_COST_S = 0.012
OTHER_REGION_COST_S = 0.08
# An instance handles an object faster if it has handled the object recently.
AFFINITY_BONUS_S = 0.008
# Random spread that breaks ties. Smaller than the cost of another zone, so that it
# never outweighs a difference in distance.
TIE_BREAK_JITTER_S = 0.004
# Engines prefill 160 to 240 tokens per millisecond. The cost is twice that time, since
# the other requests of the batch wait as well.
PREFILL_COST_S_PER_TOKEN = 0.00001
CACHED_PART_LIFETIME_S = 60.0
CACHED_PARTS_MAX = 512
SERVICE_RETRY_AFTER_MIN_S = 0.05
SERVICE_RETRY_AFTER_MAX_S = 0.5
# The rate limits of instances are known, so that longer waits can be predicted.
RATE_LIMIT_RETRY_AFTER_MAX_S = 10.0
# A failed request costs its caller the work done so far and a retry after 0.1 to
# 0.4 s.
FAILURE_COST_S = 0.8
# More than any other cost, so that a leaving instance gets a request only if no other
# instance can accept it.
LEAVING_COST_S = 100.0
# Time reserved for writing a response before the caller's own deadline.
DEADLINE_MARGIN_S = 0.02
# Time and size up to which the body of a refused request is read and discarded, so
# that the caller receives the response.
DISCARD_BODY_S = 0.5
DISCARD_BODY_BYTES = 1024 * 1024
# Number of instances that may refuse one request without running it. After this many
# refusals, an instance with a free slot is unlikely.
REFUSALS_MAX = 16
# Responses that are not streamed are buffered in memory; the smallest entries have
# 128 MB.
ANSWER_MAX_BYTES = 4 * 1024 * 1024
# A closed port refuses a connection at once. If the probe times out instead, the
# instance may still be running the request.
PROCESS_PROBE_TIMEOUT_S = 0.1
# Pause between two events after which a resumable stream is moved to another instance:
# the larger of a time and a multiple of the route's pause target. Engines pause for
# less when they recompute a preempted request.
MOVE_AFTER_S = 0.6
MOVE_AFTER_PAUSE_TARGETS = 3.0
# Callers abandon a stream themselves after its longest pause. The entry ends the stream
# this much later, for callers that do not.
ABANDON_MARGIN_S = 0.5
# Time that an instance needs for the first event of a stream, which the caller must
# receive before it leaves.
FIRST_EVENT_MARGIN_S = 0.1
# An instance whose connections fail receives no requests for this long. The time
# doubles with each consecutive failure, up to three heartbeats of an instance.
EXCLUDE_AFTER_FAILURE_S = 0.3
EXCLUDE_MAX_S = 4.0
EXCLUDE_WRONG_INSTANCE_S = 5.0
