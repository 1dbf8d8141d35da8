/**
 * DOC: limits
 *
 * Limits and tunables that are not settings. The last word of a name is its unit; a name without a
 * unit is a count.
 */
#ifndef BASE_LIMITS_H
#define BASE_LIMITS_H

/* names and ids, so that they fit into fixed buffers */
#define LIMIT_NAME_BYTES 64     /* host, service, account and class names, with the final NUL */
#define LIMIT_CHAT_ID_BYTES 256 /* a chat id in a request header */
#define LIMIT_IDEMPOTENCY_KEY_BYTES 256 /* an idempotency key in a request header */

/* forwarding of one request */
#define LIMIT_HOPS 4          /* sidecars that one request is forwarded to */
#define LIMIT_HOPS_EXTENDED 8 /* likewise after a sidecar stopped that had queued it */
#define LIMIT_REFERRALS 3     /* other hosts that one refusal may suggest */

/* load reports and exchange messages */
#define LIMIT_LOAD_SAMPLES_PER_MESSAGE 8           /* load samples in one exchange message */
#define LIMIT_LOAD_SAMPLES 64                      /* load samples kept for one service */
#define LIMIT_LOAD_SAMPLE_AGE_US (3 * 1000 * 1000) /* older load samples are not used */
#define LIMIT_DATAGRAM_BYTES 1200 /* an exchange message; below the IPv6 minimum MTU */

/* the manifest (the published configuration) */
#define LIMIT_MANIFEST_BYTES (8 * 1024 * 1024)
#define LIMIT_MANIFEST_DEPTH 16 /* nesting of its JSON */
#define LIMIT_MANIFEST_ROUTES 1024
#define LIMIT_PUBLISH_IDS 1024 /* publish ids that a reader remembers with their verdict */

/* requests that are queued */
#define LIMIT_QUEUED_PER_ACCOUNT 64 /* of one client account, at one sidecar */
#define LIMIT_QUEUED 512            /* of all client accounts, at one sidecar */

/* claims: idempotency keys that a sidecar reserves by records in the platform's log */
#define LIMIT_PENDING_CLAIMS 1024 /* claims of one stream that await their result from the log */
#define LIMIT_CLAIM_RECORD_ENTRIES 256 /* entries in one record of a claims stream */
#define LIMIT_CLAIM_QUEUE_ENTRIES 4096 /* entries of one stream that are not yet appended */
#define LIMIT_CLAIM_INTERVAL_MIN_US (20 * 1000)       /* between two appends to one stream */
#define LIMIT_CLAIM_INTERVAL_MAX_US (2 * 1000 * 1000) /* likewise after any number of refusals */
#define LIMIT_CLAIM_BACKOFF_US (4 * 1000 * 1000)      /* longest delay after consecutive failures */
#define LIMIT_CLAIM_WAIT_US (3 * 1000 * 1000) /* until a claim not yet appended is refused */
/* a "done" entry waits to share a claim's record */
#define LIMIT_CLAIM_BATCH_DELAY_US (1000 * 1000)
/* After its host began to leave, a sidecar may start requests that were admitted and claimed
 * before. */
#define LIMIT_LEAVING_GRACE_US (1000 * 1000)

/* tables of a daemon */
#define LIMIT_DIRECTORY_ENTRIES 16384 /* chats whose host is remembered */
#define LIMIT_SUSPECTS 1024           /* requests remembered since an engine crashed on them */
#define LIMIT_SUSPECT_CRASHES 2       /* engines that one request may crash before it is refused */
#define LIMIT_REVOKED_ATTEMPTS 4096   /* revoked attempt ids remembered by one sidecar */

/* log and metrics */
#define LIMIT_LOG_LINE_BYTES 2048 /* at most PIPE_BUF, so that write() never splits a line */
#define LIMIT_LOG_VALUE_BYTES 512 /* one escaped value in a log line */
#define LIMIT_COUNTERS 8192       /* counters and gauges of a process; each set of labels counts */

/* HTTP */
#define LIMIT_LISTEN_BACKLOG 1024
#define LIMIT_HTTP_ACCEPT_AGAIN_MS 200   /* after a connection could not be taken */
#define LIMIT_HTTP_EXCESS_CONNECTIONS 32 /* over the connection limit, still answered by 503 */
#define LIMIT_HTTP_DRAINS 64 /* refused connections whose input is dropped before close */
#define LIMIT_HTTP_DRAIN_BYTES (4 * 1024 * 1024) /* input dropped for one of them */
#define LIMIT_HTTP_DRAIN_MS 2000                 /* time spent on one of them */
#define LIMIT_HTTP_STOP_LINGER_MS 200 /* idle connections stay open: a request may follow */
#define LIMIT_HTTP_REQUEST_MS                                                                      \
  (30 * 1000) /* for the body of a request, and for its head by default */
#define LIMIT_HTTP_LOWERED_IDLE_MS (10 * 1000)  /* a version is in force everywhere before */
#define LIMIT_HTTP_ANSWER_UNREAD_MS (10 * 1000) /* least time for a client that reads no byte */
#define LIMIT_HTTP_UNREAD_MS 500 /* longer for a connection whose bytes are not read yet */
#define LIMIT_HTTP_UNREAD_EXTENSIONS 4
#define LIMIT_HTTP_LATE_TIMER_MS 50 /* from which on a process did not run when a timer was due */
#define LIMIT_HTTP_HELD_BYTES (64 * 1024 * 1024) /* all requests of a listener together */
#define LIMIT_HTTP_BODY_WAIT_MS (5 * 1000)       /* until a body that is not read on is refused */
#define LIMIT_HTTP_DEAD_PEER_S 5 /* until a peer that acknowledges nothing is given up */
#define LIMIT_HTTP_RESPONSE_HEADER_BYTES (64 * 1024) /* headers of a response from an upstream */
#define LIMIT_HTTP_CONNECT_MS 1000                   /* until a connection attempt is given up */
/* Outside of bodies, see http_input. An upstream that is sound sends one "100 Continue" at most. */
#define LIMIT_HTTP_INTERIM_HEADS 8
#define LIMIT_HTTP_RESPONSE_LINES 1024  /* of heads and trailers */
#define LIMIT_HTTP_HEAD_MS 2000         /* from the first byte of a response head to its last */
#define LIMIT_HTTP_CHUNK_LINE_BYTES 256 /* the size line of a chunk, with its extension */
/* evhttp passes on whole chunks, so a call's connection may hold so much memory */
#define LIMIT_HTTP_CHUNK_BYTES (896 * 1024)
/* A request in chunks of six bytes took two seconds until its limit */
#define LIMIT_HTTP_REQUEST_CHUNKS 16384
#define LIMIT_HTTP_CHUNK_MEAN_BYTES 256 /* of the chunks after those */
/* Reading of one response: a body without end took a whole core. A line costs as much processor
 * time as so many bytes. */
#define LIMIT_HTTP_READ_BYTES_PER_S (16 * 1024 * 1024)
#define LIMIT_HTTP_READ_BURST_BYTES (2 * 1024 * 1024)
#define LIMIT_HTTP_LINE_COST_BYTES 1024
/* Likewise a line of an event. A stream of many events in one chunk took a core too. */
#define LIMIT_HTTP_EVENT_LINE_COST_BYTES 256
/* Of each connection, and of all together that read more: many at the rate of one took a core. */
#define LIMIT_HTTP_READ_RESERVE_BYTES_PER_S (256 * 1024)
#define LIMIT_HTTP_READ_SHARED_BYTES_PER_S (32 * 1024 * 1024)

#endif
