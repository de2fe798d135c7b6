"""Constants of the scheduling policy."""

from __future__ import annotations

# Two random candidates already remove most of the imbalance of a random choice;
# four also cover the case that one of them is dead or draining.
RANDOM_CANDIDATES = 4
# A report is trusted fully while fresh and loses half of its weight per half-life.
REPORT_HALF_LIFE_S = 2.0
# One way, from the platform's description.
ZONE_LATENCY_S = 0.001
REGION_LATENCY_S = 0.012
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
DEFAULT_OUTPUT_TOKENS = 200
BYTES_PER_TOKEN = 4

PREFIX_RECORDS_MAX = 50_000
PREFIX_HOLDERS_MAX = 4

QUEUE_CALLS_MAX = 512
# New programs are refused once the queue is this full, so that the rest stays
# for programs under way.
NEW_PROGRAM_QUEUE_SHARE = 0.25
# A new program that would wait longer than this is refused at once.
NEW_PROGRAM_WAIT_MAX_S = 0.5
# Attained service counts up to this many seconds; it bounds the extra wait of a
# long program and so rules out starvation.
ATTAINED_SERVICE_CAP_S = 30.0
ATTAINED_SERVICE_WEIGHT = 0.1
NEW_PROGRAM_DELAY_S = 2.0
INTERACTIVE_ADVANCE_S = 2.0
DEPTH_ADVANCE_S = 0.5
SERVICE_EWMA_WEIGHT = 0.1
DEFAULT_SERVICE_S = 1.0
RETRY_AFTER_MIN_MS = 200
RETRY_AFTER_MAX_MS = 30_000

# p95 target of the time between tokens.
TIME_PER_TOKEN_TARGET_S = 0.053
# The mean is held below the p95 target.
TIME_PER_TOKEN_MEAN_S = 0.96 * TIME_PER_TOKEN_TARGET_S
CONCURRENCY_INITIAL = 64
CONCURRENCY_MIN = 1
CONCURRENCY_MAX = 512
CONCURRENCY_WINDOW_S = 1.0
CONCURRENCY_DECREASE_FACTOR = 0.9
CONCURRENCY_GROWTH_SHARE = 0.1
# First-token time beyond the expected prefill that counts as engine queueing.
ENGINE_QUEUE_TARGET_S = 0.5

RETRY_RATIO = 0.1
RETRY_CONSTANT_PER_S = 1.0
RETRY_BALANCE_MAX = 100.0
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 5.0

BREAKER_FAILURES = 5
BREAKER_OPEN_S = 2.0
BREAKER_OPEN_MAX_S = 30.0
# Silence on an upstream with calls in flight that counts as a hang.
BREAKER_HANG_S = 5.0

FAIRNESS_SLACK_S = 10.0
LATE_CHECK_INTERVAL_S = 0.25

# Time per token of a nearly empty batch relative to a full one.
EMPTY_BATCH_TIME_SHARE = 0.35
# A prefill step also delays every decoding call of the batch. In a trial
# (seed 1, load 0.8) a weight of 1 recomputed 1.7e5 tokens, one of 10 2.6e3.
RECOMPUTATION_WEIGHT = 10.0

# Value of one second of a program's latency against the price of billed traffic.
LATENCY_VALUE_MICRO_PER_S = 1_000.0
CROSS_REGION_PRICE_MICRO_PER_BYTE = 1.0
CROSS_REGION_BYTES_PER_S = 200_000.0
CROSS_REGION_BURST_S = 10.0

# Prompt tokens that wait inside the engine: enough to keep it busy for the time a
# finished call needs to make room for the next one.
ENGINE_PREFILL_TOKENS_MAX = 2_048
# Time that a waiting call is delayed per second of its prefill.
PREFILL_WEIGHT = 1.0
# Share of the upstream's memory that programs under way may hold before new ones
# are refused; the rest is for their growth.
NEW_PROGRAM_MEMORY_SHARE = 0.95
# Share of the memory that running calls may hold; the rest is for the cached
# prefixes of programs that pause, and for outputs longer than expected.
RUNNING_MEMORY_SHARE = 0.8

HEDGE_QUANTILE = 0.95
# Fewer calls say nothing about a 95th percentile.
HEDGE_SAMPLES_MIN = 50
HEDGE_DURATION_MIN_S = 0.001
HEDGE_OPERATIONS_MAX = 1_000

# Requests to upstream services over the platform's wire.
# A round trip to another zone takes 2 ms and one to another region 24 ms; the rest
# weighs the billed bytes of a conversation against time.
OTHER_ZONE_COST_S = 0.012
OTHER_REGION_COST_S = 0.08
# An instance that has handled an object recently is faster with it.
AFFINITY_BONUS_S = 0.008
# Below the cost of another zone, so that it only decides among equals.
TIE_BREAK_JITTER_S = 0.004
# Engines read 160 to 240 prompt tokens in a millisecond; twice that time, since the
# other requests of the batch wait as well.
PREFILL_COST_S_PER_TOKEN = 0.00001
CACHED_PART_LIFETIME_S = 60.0
CACHED_PARTS_MAX = 512
SERVICE_RETRY_AFTER_MIN_S = 0.05
SERVICE_RETRY_AFTER_MAX_S = 0.5
# A failed request costs its caller a retry after 0.1 to 0.4 s and the work done.
FAILURE_COST_S = 0.8
# An answer must be written before the caller's own deadline.
DEADLINE_MARGIN_S = 0.02
# Body of a refused request that is still read, so that the answer arrives.
DISCARD_BODY_S = 0.5
DISCARD_BODY_BYTES = 1024 * 1024
# Instances that answered that they have not run a request are tried in turn; when
# this many are full, a free place elsewhere is unlikely.
REFUSALS_MAX = 16
# Answers that are not streamed are held in memory; the smallest entries have 128 MB.
ANSWER_MAX_BYTES = 4 * 1024 * 1024
# A closed port refuses at once; a machine that is silent may still run the request.
PROCESS_PROBE_TIMEOUT_S = 0.1
# A stream that may go on elsewhere leaves an instance after this pause between two
# events, in seconds and in pause targets of the route. Engines that read a preempted
# request again pause for less.
MOVE_AFTER_S = 0.6
MOVE_AFTER_PAUSE_TARGETS = 3.0
# Callers abandon a stream at its longest pause on their own; the rest is for those
# that do not.
ABANDON_MARGIN_S = 0.5
# An instance whose connections fail is left alone for this long.
EXCLUDE_AFTER_FAILURE_S = 0.3
# It doubles with each failure in a row, up to three heartbeats of an instance.
EXCLUDE_MAX_S = 4.0
EXCLUDE_WRONG_INSTANCE_S = 5.0
