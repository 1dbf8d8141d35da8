/**
 * DOC: control_private
 *
 * The state of the control task, shared by the files control*.c. The control task runs on one
 * thread. Timeouts are checked on a periodic tick against the daemon's clock, which tests can pause
 * and advance.
 */
#ifndef PROCESS_CONTROL_PRIVATE_H
#define PROCESS_CONTROL_PRIVATE_H

#include "connection/exchange.h"
#include "connection/http_client.h"
#include "connection/platform.h"
#include "base/daemon.h"
#include "process/control.h"
#include "request/messages.h"
#include "base/pause.h"
#include "process/gossip.h"
#include "request/policy/engines/leave_notice.h"
#include "version/manifest_sync.h"
#include "version/replay.h"

#define CONTROL_BACKOFF_MAX_US (UINT64_C (10) * CLOCK_US_PER_S)
/* Estimated traffic of a platform call, charged to the control byte budget; with the headers of TCP
 * and IP. See docs/measurements/control.md. */
#define CONTROL_LIST_READ_BYTES 220 /* reading the host list, on a connection that is kept open */
#define CONTROL_LOG_READ_BYTES 330  /* a long-polling read of the log */
#define CONTROL_REQUEST_BYTES 300   /* any other request */

/**
 * struct control_call - a call to the platform that has not completed
 * @abandoned: the result is to be ignored
 * @started_us: when the call was made; its result says nothing about changes before that
 * @stream: the claims stream that the call belongs to, or NULL
 */
typedef struct control_claims_stream control_claims_stream_t;
typedef struct
{
  control_t *ctrl;
  bool abandoned;
  uint64_t started_us;
  control_claims_stream_t *stream;
} control_call_t;

/**
 * struct control_poll - polling state of the host list or of the manifest stream
 * @call: the read in flight, or NULL
 * @due_us: when to read next
 * @backoff_us: current retry delay, 0 while reads succeed
 * @down: the last read failed
 */
typedef struct
{
  control_call_t *call;
  uint64_t due_us;
  uint64_t backoff_us;
  bool down;
} control_poll_t;

/**
 * struct control_list - the platform's list of hosts
 * @revision: of the last list that was applied
 * @last_read_us: when the last read was started
 * @peer_revision: the highest that a peer has announced lately
 * @peer_revision_us: when a peer last announced it
 * @older_since_us: since when the list has been answered with a lower revision; 0 when it is not
 * @read_once: a list has been applied
 * @empty: the last read returned a list without any host, which was ignored
 * @own_state: of this host according to the list; MEMBERSHIP_GONE when it isn't listed
 * @own_unclear: the list has said "leaving" since before this process started, which may refer to
 *               the previous process on this host
 * @own_live_revision: of the last list read that had this host as live, 0 when none had
 * @leaving: hosts of this data centre that have to be notified that the list has them as leaving
 */
typedef struct
{
  control_poll_t poll;
  uint64_t revision;
  uint64_t last_read_us;
  uint64_t peer_revision;
  uint64_t peer_revision_us;
  uint64_t older_since_us;
  bool read_once;
  bool empty;
  membership_state_t own_state;
  bool own_unclear;
  uint64_t own_live_revision;
  leave_notices_t *leaving;
} control_list_t;

/**
 * struct control_peers - the members, and the hosts to exchange with as indices into @members
 * @members: the snapshot that was last sent to the data task, NULL before the first
 * @all: live hosts that have an exchange address
 * @sidecars: those of @all that are sidecars
 * @same_service: sidecars of this daemon's service in its region
 * @sent_us: when @members was sent to the data task
 * @is_follower: this daemon is one of the few of its data centre that poll the log and the host
 *               list all the time; the others rely on peers to announce changes
 */
typedef struct
{
  membership_snapshot_t *members;
  GArray *all;
  GArray *sidecars;
  GArray *same_service;
  uint64_t sent_us;
  bool is_follower;
} control_peers_t;

/**
 * struct control_manifest - the manifest stream
 * @replay: replays the stream and holds the version in force
 * @restore: text of the restore in flight, or NULL
 * @restore_call: the append of a version that the log lost, or NULL
 * @restore_due_us: no such append before this
 * @sent_version: the last version sent to the data task
 * @sent_digest: its digest
 * @sent_era: the era of the log that had it, when it was sent
 * @peer_version: the highest that a peer has announced
 * @source_hash: the host to fetch a version from
 * @source_version: what it has announced
 * @source_tried: it has been fetched from, so that other hosts with a newer version than here may
 *                take its place
 * @behind_since_us: since when a peer has had a higher version, 0 when none has
 * @checkpoint_call: the append of @checkpoint in flight, or NULL
 * @checkpoint_due_us: when to append a checkpoint, 0 when none is due
 * @checkpoint_seen_us: when the last checkpoint was read from the stream
 */
typedef struct
{
  replay_t *replay;
  control_poll_t poll;
  char *restore;
  control_call_t *restore_call;
  uint64_t restore_due_us;
  uint64_t sent_version;
  char sent_digest[65];
  uint64_t sent_era;
  uint64_t peer_version;
  uint64_t source_hash;
  uint64_t source_version;
  bool source_tried;
  uint64_t behind_since_us;
  control_call_t *checkpoint_call;
  char *checkpoint;
  uint64_t checkpoint_due_us;
  uint64_t checkpoint_seen_us;
} control_manifest_t;

/**
 * struct control_fetch - fetches the manifest in force from a peer over HTTP; one fetch at a time
 * @call: the call in flight, or NULL
 * @body: what has been received of the answer
 * @nonce: sent with the call; the peer's seal covers it
 * @seal: the seal header of the answer
 * @host: name of the peer
 * @next_us: no other fetch starts before
 */
typedef struct
{
  http_client_call_t *call;
  struct evbuffer *body;
  char nonce[ANSWER_SEAL_NONCE_BYTES];
  char seal[ANSWER_SEAL_BYTES];
  char host[LIMIT_NAME_BYTES];
  uint64_t next_us;
} control_fetch_t;

/**
 * struct control_exchange - state of the exchange with other daemons
 * @last_received_us: when a message of a listed peer was last accepted
 * @callee_hash: the host that the next call goes to
 * @sequence: of the last message sent
 * @gossip: state reports and marks that are still being passed on
 * @own_sample: load of this daemon's engine, valid if @has_own_sample
 * @samples: service hash -> load_samples_t, for the services of the manifest in force
 * @old_messages: counts messages with a sequence or incarnation that was superseded
 * @unlisted: counts messages of senders that are not in the host list
 */
typedef struct
{
  uint64_t last_received_us;
  uint64_t callee_hash;
  uint32_t sequence;
  gossip_t gossip;
  bool has_own_sample;
  load_sample_t own_sample;
  GHashTable *samples;
  counter_t *old_messages;
  counter_t *unlisted;
} control_exchange_t;

/**
 * struct control_freshness - what has been confirmed since the daemon started or last woke from a
 * pause
 *
 * After a pause the host may be leaving and the manifest may have been replaced. The daemon is
 * stale, and the data task accepts no work, until both have been confirmed by the platform or, when
 * the platform is unreachable, by peers.
 *
 * @since_us: results of platform calls that were made before do not count
 * @list_ok, @list_failed: a read of the host list has succeeded, has failed
 * @log_ok, @log_failed: the log was read to its end, a read of it has failed
 * @replies: of peers to calls made since
 * @current_replies: those that announced no higher version than ours
 */
typedef struct
{
  pause_detector_t pause;
  uint64_t since_us;
  bool list_ok;
  bool list_failed;
  bool log_ok;
  bool log_failed;
  uint32_t replies;
  uint32_t current_replies;
  counter_t *pauses;
  counter_t *stale;
} control_freshness_t;

/**
 * struct control_claims - the open claims streams
 * @streams: name -> control_claims_stream_t
 * @down: the last read of the log failed; claims are refused at once
 * @era: highest era of the log that is known
 * @pause_until_us: claims are refused until then, as the log may lack outcomes
 * @requested_us: when the data task last requested a claim
 * @probe_us: when to probe the log next while it is down
 * @probe_wait_us: current delay between probes
 * @probe_call: the probe in flight, or NULL
 */
typedef struct
{
  GHashTable *streams;
  bool down;
  uint64_t requested_us;
  uint64_t probe_us;
  uint64_t probe_wait_us;
  control_call_t *probe_call;
  uint64_t era;
  uint64_t pause_until_us;
} control_claims_t;

/**
 * struct control_stop - progress of leaving and of the shutdown
 * @leaving: this daemon accepts no new work and announces that it leaves
 * @by_signal: the process ends once the data task is drained
 * @drained: the data task has finished its requests, at @drained_us
 * @done: the event loop was told to exit
 * @calls_left: further peers to call with the announcement, one each tick
 */
typedef struct
{
  bool leaving;
  bool by_signal;
  bool drained;
  bool done;
  uint64_t drained_us;
  uint32_t calls_left;
} control_stop_t;

/* In a state report that is sent to the host it is about: the host list says that the host leaves,
 * whichever incarnation runs there. The host compares the revision of the sender's list with its
 * own to decide whether its current process is meant. */
#define CONTROL_ANY_INCARNATION 0

/**
 * struct control - the control task
 * @own_hash: hash of this host's name
 * @calls: all platform calls in flight, also the abandoned ones
 * @closing: the task is being freed; results of platform calls are ignored
 * @conflict_logged_us: when a higher incarnation of the own name was last logged, 0 for never
 */
struct control
{
  daemon_t *daemon;
  struct event_base *base;
  struct event *tick;
  GRand *rand;
  platform_t *platform;
  http_client_t *http_client;
  exchange_t *exchange;
  membership_t *membership;
  uint64_t own_hash;
  GPtrArray *calls;
  bool closing;
  control_list_t list;
  control_peers_t peers;
  control_manifest_t manifest;
  control_fetch_t fetch;
  control_exchange_t talk;
  control_freshness_t freshness;
  control_claims_t claims;
  control_stop_t stop;
  uint64_t conflict_logged_us;
};

/* General */
/** control_new_with_platform() - as control_new(), with @platform, which is freed with the task */
control_t *control_new_with_platform (daemon_t *daemon,
                                      struct event_base *base,
                                      platform_t *platform,
                                      GError **error);
/** control_tick() - the periodic work, called every %PAUSE_CHECK_INTERVAL_MS */
void control_tick (control_t *ctrl);
uint64_t control_now_us (const control_t *ctrl);
/** control_send_to_data() - send a message to the data task, which frees it */
void control_send_to_data (control_t *ctrl, void *message);
/** control_count_event() - add 1 to the counter @name, registered with @help at the first call */
void control_count_event (control_t *ctrl, const char *name, const char *help);
/** control_set_gauge() - set the gauge @name, registered with @help at the first call */
void control_set_gauge (control_t *ctrl, const char *name, const char *help, uint64_t value);
/** control_add_jitter() - @wait_us times a random factor from 3/4 to 5/4 */
uint64_t control_add_jitter (control_t *ctrl, uint64_t wait_us);

/* Platform calls and polling */
/** control_call_new() - register a platform call that is about to be made */
control_call_t *control_call_new (control_t *ctrl);
/** control_call_end() - free a completed call. Return: whether its result is to be used */
bool control_call_end (control_call_t *call);
/** control_poll_succeeded() - a read succeeded; the next is due after @wait_us */
void
control_poll_succeeded (control_t *ctrl, control_poll_t *poll, const char *name, uint64_t wait_us);
/** control_poll_failed() - a read failed; retries after @first_us, doubling, with jitter */
void
control_poll_failed (control_t *ctrl, control_poll_t *poll, const char *name, uint64_t first_us);
/** control_poll_restart() - abandon the read in flight and make a new one due at once */
void control_poll_restart (control_t *ctrl, control_poll_t *poll);

/* Host list */
/** control_list_tick() - read the host list if it is due */
void control_list_tick (control_t *ctrl);
/** control_list_note_revision() - a peer announced that it has read the list up to @revision */
void control_list_note_revision (control_t *ctrl, uint64_t revision);
/** control_list_note_own_leaving() - by a peer's list at @revision this host leaves */
void control_list_note_own_leaving (control_t *ctrl, uint64_t revision);
/** control_list_notify_leaving() - call hosts that are listed as leaving and due for a call */
void control_list_notify_leaving (control_t *ctrl);

/* Members and peers */
void control_members_init (control_t *ctrl);
void control_members_clear (control_t *ctrl);
/**
 * control_members_send_if_due() - send the members to the data task if they have changed
 *
 * The first change is sent at once. Those soon after the last snapshot are collected for a time
 * that grows with the number of hosts, as a snapshot costs time for each host.
 */
void control_members_send_if_due (control_t *ctrl);
/**
 * control_members_send_now() - send changed members without collecting more
 *
 * They have to reach the data task before MESSAGE_FRESHNESS does.
 */
void control_members_send_now (control_t *ctrl);
/** control_peers_rebuild() - recompute the peers after the members or manifest changed */
void control_peers_rebuild (control_t *ctrl);
/** control_pick_any_peer() - a random peer, or NULL */
const membership_host_t *control_pick_any_peer (control_t *ctrl);
/** control_pick_useful_peer() - a random peer, preferably one with samples of use here, or NULL */
const membership_host_t *control_pick_useful_peer (control_t *ctrl);

/* Manifest stream */
void control_manifest_init (control_t *ctrl);
void control_manifest_clear (control_t *ctrl);
/** control_manifest_tick() - read the log, fetch, or append a checkpoint, as each is due */
void control_manifest_tick (control_t *ctrl);
/** control_manifest_send_if_changed() - send a new version in force to the data task */
void control_manifest_send_if_changed (control_t *ctrl);
/** control_manifest_note_version() - the peer @host_hash has @version in force */
void control_manifest_note_version (control_t *ctrl, uint64_t version, uint64_t host_hash);
/** control_manifest_version() - the version in force, 0 when there is none */
uint64_t control_manifest_version (const control_t *ctrl);

/* Fetch of the manifest from a peer */
/**
 * control_fetch_start() - fetch the manifest in force from @host
 *
 * Does nothing while a fetch runs, and until about a second after the last one was started.
 */
void control_fetch_start (control_t *ctrl, const membership_host_t *host);
void control_fetch_clear (control_t *ctrl);

/* Outgoing messages of the exchange */
/**
 * control_exchange_compose() - compose a message
 * @to: the sender that is replied to, or NULL for a call to the host @callee_hash
 */
void control_exchange_compose (xch_message *message, const xch_word *to, void *context);
/** control_exchange_next_own_report() - a report of this daemon's state, with a new sequence */
membership_report_t control_exchange_next_own_report (control_t *ctrl);
/** control_exchange_find_samples() - load samples of a service, NULL for one out of force */
load_samples_t *control_exchange_find_samples (const control_t *ctrl, uint64_t service_hash);

/* Exchange with peers */
void control_exchange_init (control_t *ctrl);
void control_exchange_clear (control_t *ctrl);
/** control_exchange_receive() - process a received message. Return: whether to reply to it */
bool control_exchange_receive (const xch_message *message, bool is_reply, void *context);
/** control_exchange_pick_peer() - the peer of the next periodic call. Return: false for none */
bool control_exchange_pick_peer (address_t *peer, void *context);
/** control_exchange_call() - call a host now, if the byte budget allows it */
void control_exchange_call (control_t *ctrl, const membership_host_t *host);
/** control_exchange_call_random() - call up to @count different random peers now */
void control_exchange_call_random (control_t *ctrl, uint32_t count);
/** control_exchange_apply_own_report() - apply a state report of this daemon to its own members */
void control_exchange_apply_own_report (control_t *ctrl);
/** control_exchange_update_services() - keep samples of just the services in force */
void control_exchange_update_services (control_t *ctrl);
/** control_exchange_set_own_sample() - the data task measured the load of this daemon's engine */
void control_exchange_set_own_sample (control_t *ctrl, const message_load_samples_t *message);
/** control_exchange_add_own_marks() - pass on marks of suspect requests that the data task made */
void control_exchange_add_own_marks (control_t *ctrl, const message_crash_marks_t *message);

/* Freshness after a start or a pause */
void control_freshness_init (control_t *ctrl);
/** control_freshness_check_pause() - detect a pause; called first in each event handler */
void control_freshness_check_pause (control_t *ctrl);
/** control_freshness_note_pause() - the data task detected a pause that ended at @woke_us */
void control_freshness_note_pause (control_t *ctrl, uint64_t woke_us);
/** control_freshness_note_list_read() - a read of the list, begun at @started_us, has ended */
void control_freshness_note_list_read (control_t *ctrl, uint64_t started_us, bool worked);
/** control_freshness_note_log_read() - a read of the log, begun at @started_us, has ended */
void control_freshness_note_log_read (control_t *ctrl, uint64_t started_us, bool worked);
/** control_freshness_note_reply() - a reply of a peer with @version in force was applied */
void control_freshness_note_reply (control_t *ctrl, uint64_t version);
/** control_freshness_send_if_fresh() - tell the data task once all is confirmed */
void control_freshness_send_if_fresh (control_t *ctrl);

/* Claims of idempotency keys */
void control_claims_init (control_t *ctrl);
void control_claims_clear (control_t *ctrl);
/** control_claims_tick() - advance all streams, close idle ones and probe a log that is down */
void control_claims_tick (control_t *ctrl);
/** control_claims_request() - claim an idempotency key; answered by MESSAGE_CLAIM_RESULT */
void control_claims_request (control_t *ctrl, const message_claim_t *message);
/** control_claims_finish() - record that a claimed request has ended, or did not run */
void control_claims_finish (control_t *ctrl, const message_claim_end_t *message);
/** control_claims_note_log_read() - a read of the same log succeeded or failed */
void control_claims_note_log_read (control_t *ctrl, bool works);
/** control_claims_note_era() - the log, or a peer, stated the era of the log. In a new one claims
 * are refused for a while, and the own outcomes are appended again */
void control_claims_note_era (control_t *ctrl, uint64_t era);
/** control_claims_era() - highest era of the log that is known; 0 before the first restoration */
uint64_t control_claims_era (const control_t *ctrl);
/** control_claims_is_idle() - whether nothing is left to append */
bool control_claims_is_idle (const control_t *ctrl);

/* Leaving and shutdown */
/** control_stop_start_leaving() - drain the data task and notify peers; @why is logged */
void control_stop_start_leaving (control_t *ctrl, const char *why);
/** control_stop_on_signal() - leave, and end the process once drained */
void control_stop_on_signal (control_t *ctrl);
/** control_stop_note_drained() - the data task has no requests left */
void control_stop_note_drained (control_t *ctrl);
void control_stop_tick (control_t *ctrl);

#endif
