/**
 * DOC: limits
 *
 * Every limit and tunable that is not a setting, in one place. A name ends in its unit.
 */
#ifndef BASE_LIMITS_H
#define BASE_LIMITS_H

#define LIM_NAME_BYTES 64         /* host, service, account and class names, with the final NUL */
#define LIM_CHAT_ID_BYTES 256     /* a chat id in a header */
#define LIM_KEY_BYTES 256         /* an idempotency key */
#define LIM_HOPS 4                /* sidecars asked for one request */
#define LIM_HOPS_MOST 8           /* as LIM_HOPS, when one that held it closed meanwhile */
#define LIM_REFERRALS 3           /* hosts named by one refusal */
#define LIM_SAMPLES_PER_MESSAGE 8 /* load samples in one exchange message */
#define LIM_SAMPLES_KEPT 64       /* load samples kept for one service */
#define LIM_SAMPLE_AGE_US (3 * 1000 * 1000)
#define LIM_DATAGRAM_BYTES 1200
#define LIM_MANIFEST_BYTES (8 * 1024 * 1024)
#define LIM_MANIFEST_DEPTH 16
#define LIM_MANIFEST_ROUTES 1024
#define LIM_PUBLISH_IDS 1024     /* judged publish ids that a reader remembers */
#define LIM_QUEUE_PER_ACCOUNT 64 /* requests that wait at one sidecar for one client account */
#define LIM_QUEUE_TOTAL 512      /* requests that wait at one sidecar */
#define LIM_CLAIMS_WAITING 1024  /* claims of one stream that wait for the log */
#define LIM_CLAIM_ENTRIES 256    /* entries in one record of a claims stream */
#define LIM_CLAIM_QUEUE 4096     /* entries of one stream that are yet to be appended */
#define LIM_CLAIM_INTERVAL_MIN_US (20 * 1000)       /* between two appends to one stream */
#define LIM_CLAIM_INTERVAL_MAX_US (2 * 1000 * 1000) /* however often the log refuses */
#define LIM_CLAIM_BACKOFF_US (4 * 1000 * 1000)      /* after failures in a row */
#define LIM_CLAIM_WAIT_US (3 * 1000 * 1000) /* a claim that can't be sent by then is refused */
#define LIM_CLAIM_HOLD_US (1000 * 1000)     /* a done entry waits so long for a claim to go with */
/* What was admitted and claimed before a host began to leave may start for so long after. */
#define LIM_LEAVING_GRACE_US (1000 * 1000)
#define LIM_DIRECTORY_ENTRIES 16384
#define LIM_SUSPECTS 1024
#define LIM_SUSPECT_CRASHES 2
#define LIM_REVOKED 4096        /* attempt ids barred at one sidecar */
#define LIM_LOG_LINE_BYTES 2048 /* below PIPE_BUF, so that one write is never split */
#define LIM_LOG_VALUE_BYTES 512 /* one escaped value of a log line */
#define LIM_COUNTERS 8192       /* counters of a process, each with its labels */
#define LIM_LISTEN_BACKLOG 1024
#define LIM_HTTP_OVER_LIMIT 32 /* connections over the limit that still get their 503 */
#define LIM_HTTP_DRAINS 64     /* refused callers whose bytes are read out before the close */
#define LIM_HTTP_DRAIN_BYTES (4 * 1024 * 1024)
#define LIM_HTTP_DRAIN_MS 2000
#define LIM_HTTP_STOP_LINGER_MS 200     /* a request may still come on an idle connection */
#define LIM_HTTP_REQUEST_MS (30 * 1000) /* from the first byte of a request to its last */
#define LIM_HTTP_COMING_BYTES (256 * 1024 * 1024) /* of requests that are not whole yet */
#define LIM_HTTP_DEAD_PEER_S 5                    /* a peer that acknowledges nothing is given up */
#define LIM_HTTP_ANSWER_HEADER_BYTES (64 * 1024)
#define LIM_HTTP_CONNECT_MS 1000

#endif
