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
#include "process/rumour.h"
#include "request/policy/leave_notice.h"
#include "version/manifest_sync.h"
#include "version/replay.h"

#define CTRL_BACKOFF_MAX_US (UINT64_C (10) * CLK_US_PER_S)
/* Estimated traffic of a platform call, charged to the control byte budget; with the headers of TCP
 * and IP. See docs/measurements/control.md. */
#define CTRL_LIST_BYTES 220    /* reading the host list, on a connection that is kept open */
#define CTRL_READ_BYTES 330    /* a long-polling read of the log */
#define CTRL_REQUEST_BYTES 300 /* any other request */

/**
 * struct ctrl_op - a call to the platform that has not completed
 * @abandoned: the result is to be ignored
 * @started_us: when the call was made; its result says nothing about changes before that
 * @stream: the claims stream that the call belongs to, or NULL
 */
typedef struct ctrl_stream ctrl_stream_t;
typedef struct
{
  ctrl_t *ctrl;
  bool abandoned;
  uint64_t started_us;
  ctrl_stream_t *stream;
} ctrl_op_t;

/**
 * struct ctrl_source - polling state of the host list or of the manifest stream
 * @call: the read in flight, or NULL
 * @due_us: when to read next
 * @backoff_us: current retry delay, 0 while reads succeed
 * @down: the last read failed
 */
typedef struct
{
  ctrl_op_t *call;
  uint64_t due_us;
  uint64_t backoff_us;
  bool down;
} ctrl_source_t;

/**
 * struct ctrl_list - the platform's list of hosts
 * @revision: of the last list that was applied
 * @last_read_us: when the last read was started
 * @peer_revision: the highest that a peer has announced since the last successful read
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
  ctrl_source_t poll;
  uint64_t revision;
  uint64_t last_read_us;
  uint64_t peer_revision;
  bool read_once;
  bool empty;
  membership_state_t own_state;
  bool own_unclear;
  uint64_t own_live_revision;
  leave_notices_t *leaving;
} ctrl_list_t;

/**
 * struct ctrl_peers - the members, and the hosts to exchange with as indices into @members
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
} ctrl_peers_t;

/**
 * struct ctrl_manifest - the manifest stream
 * @rep: replays the stream and holds the version in force
 * @sent_version: the last version sent to the data task
 * @peer_version: the highest that a peer has announced, last by the host @peer_hash
 * @behind_since_us: since when a peer has had a higher version, 0 when none has
 * @checkpoint_call: the append of @checkpoint in flight, or NULL
 * @checkpoint_due_us: when to append a checkpoint, 0 when none is due
 * @checkpoint_seen_us: when the last checkpoint was read from the stream
 */
typedef struct
{
  rep_t *rep;
  ctrl_source_t poll;
  uint64_t sent_version;
  uint64_t peer_version;
  uint64_t peer_hash;
  uint64_t behind_since_us;
  ctrl_op_t *checkpoint_call;
  char *checkpoint;
  uint64_t checkpoint_due_us;
  uint64_t checkpoint_seen_us;
} ctrl_manifest_t;

/**
 * struct ctrl_fetch - fetches the manifest in force from a peer over HTTP; one fetch at a time
 * @call: the call in flight, or NULL
 * @body: what has been received of the answer
 * @nonce: sent with the call; the peer's seal covers it
 * @seal: the seal header of the answer
 * @host: name of the peer
 * @next_us: no other fetch starts before
 */
typedef struct
{
  hcl_call_t *call;
  struct evbuffer *body;
  char nonce[ASL_NONCE_BYTES];
  char seal[ASL_SEAL_BYTES];
  char host[LIM_NAME_BYTES];
  uint64_t next_us;
} ctrl_fetch_t;

/**
 * struct ctrl_talk - state of the exchange with other daemons
 * @last_received_us: when a message of a listed peer was last accepted
 * @callee_hash: the host that the next call goes to
 * @sequence: of the last message sent
 * @rumours: state reports and marks that are still being passed on
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
  rmr_t rumours;
  bool has_own_sample;
  load_sample_t own_sample;
  GHashTable *samples;
  cnt_t *old_messages;
  cnt_t *unlisted;
} ctrl_talk_t;

/**
 * struct ctrl_fresh - what has been confirmed since the daemon started or last woke from a pause
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
  pse_t pse;
  uint64_t since_us;
  bool list_ok;
  bool list_failed;
  bool log_ok;
  bool log_failed;
  uint32_t replies;
  uint32_t current_replies;
  cnt_t *pauses;
  cnt_t *stale;
} ctrl_fresh_t;

/**
 * struct ctrl_claims - the open claims streams
 * @streams: name -> ctrl_stream_t
 * @down: the last read of the log failed; claims are refused at once
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
  ctrl_op_t *probe_call;
} ctrl_claims_t;

/**
 * struct ctrl_stop - progress of leaving and of the shutdown
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
} ctrl_stop_t;

/* In a state report that is sent to the host it is about: the host list says that the host leaves,
 * whichever incarnation runs there. The host compares the revision of the sender's list with its
 * own to decide whether its current process is meant. */
#define CTRL_ANY_INCARNATION 0

/**
 * struct control - the control task
 * @own_hash: hash of this host's name
 * @calls: all platform calls in flight, also the abandoned ones
 * @closing: the task is being freed; results of platform calls are ignored
 * @conflict_logged_us: when a higher incarnation of the own name was last logged, 0 for never
 */
struct control
{
  dmn_t *dmn;
  struct event_base *base;
  struct event *tick;
  GRand *rand;
  plt_t *plt;
  hcl_t *hcl;
  exc_t *exc;
  membership_t *membership;
  uint64_t own_hash;
  GPtrArray *calls;
  bool closing;
  ctrl_list_t list;
  ctrl_peers_t peers;
  ctrl_manifest_t manifest;
  ctrl_fetch_t fetch;
  ctrl_talk_t talk;
  ctrl_fresh_t fresh;
  ctrl_claims_t claims;
  ctrl_stop_t stop;
  uint64_t conflict_logged_us;
};

/* General */
/** ctrl_new_on() - as ctrl_new(), with @plt, which is freed with the task */
ctrl_t *ctrl_new_on (dmn_t *dmn, struct event_base *base, plt_t *plt, GError **error);
/** ctrl_turn() - the periodic work, called every %PSE_TICK_MS */
void ctrl_turn (ctrl_t *ctrl);
uint64_t ctrl_now_us (const ctrl_t *ctrl);
/** ctrl_send() - send a message to the data task, which frees it */
void ctrl_send (ctrl_t *ctrl, void *message);
/** ctrl_count() - add 1 to the counter @name, registered with @help at the first call */
void ctrl_count (ctrl_t *ctrl, const char *name, const char *help);
/** ctrl_gauge() - set the gauge @name, registered with @help at the first call */
void ctrl_gauge (ctrl_t *ctrl, const char *name, const char *help, uint64_t value);
/** ctrl_jitter() - @wait_us times a random factor from 3/4 to 5/4 */
uint64_t ctrl_jitter (ctrl_t *ctrl, uint64_t wait_us);

/* Platform calls and polling */
/** ctrl_op_new() - register a platform call that is about to be made */
ctrl_op_t *ctrl_op_new (ctrl_t *ctrl);
/** ctrl_op_end() - free a completed call. Return: whether its result is to be used */
bool ctrl_op_end (ctrl_op_t *call);
/** ctrl_source_worked() - a read succeeded; the next is due after @wait_us */
void ctrl_source_worked (ctrl_t *ctrl, ctrl_source_t *poll, const char *name, uint64_t wait_us);
/** ctrl_source_failed() - a read failed; retries after @first_us, doubling, with jitter */
void ctrl_source_failed (ctrl_t *ctrl, ctrl_source_t *poll, const char *name, uint64_t first_us);
/** ctrl_source_restart() - abandon the read in flight and make a new one due at once */
void ctrl_source_restart (ctrl_t *ctrl, ctrl_source_t *poll);

/* Host list */
/** ctrl_list_turn() - read the host list if it is due */
void ctrl_list_turn (ctrl_t *ctrl);
/** ctrl_list_heard() - a peer announced that it has read the list up to @revision */
void ctrl_list_heard (ctrl_t *ctrl, uint64_t revision);
/** ctrl_list_heard_leaving() - by a peer's list at @revision this host leaves */
void ctrl_list_heard_leaving (ctrl_t *ctrl, uint64_t revision);
/** ctrl_list_tell() - call hosts that are listed as leaving and due for a call */
void ctrl_list_tell (ctrl_t *ctrl);

/* Members and peers */
void ctrl_members_init (ctrl_t *ctrl);
void ctrl_members_clear (ctrl_t *ctrl);
/**
 * ctrl_members_flush() - send the members to the data task if they have changed
 *
 * The first change is sent at once. Those soon after the last snapshot are collected for a time
 * that grows with the number of hosts, as a snapshot costs time for each host.
 */
void ctrl_members_flush (ctrl_t *ctrl);
/**
 * ctrl_members_flush_now() - send changed members without collecting more
 *
 * They have to reach the data task before MESSAGE_FRESHNESS does.
 */
void ctrl_members_flush_now (ctrl_t *ctrl);
/** ctrl_peers_rebuild() - recompute the peers after the members or manifest changed */
void ctrl_peers_rebuild (ctrl_t *ctrl);
/** ctrl_peer_any() - a random peer, or NULL */
const membership_host_t *ctrl_peer_any (ctrl_t *ctrl);
/** ctrl_peer_near() - a random peer, preferably one with samples of use here, or NULL */
const membership_host_t *ctrl_peer_near (ctrl_t *ctrl);

/* Manifest stream */
void ctrl_manifest_init (ctrl_t *ctrl);
void ctrl_manifest_clear (ctrl_t *ctrl);
/** ctrl_manifest_turn() - read the log, fetch, or append a checkpoint, as each is due */
void ctrl_manifest_turn (ctrl_t *ctrl);
/** ctrl_manifest_flush() - send a new version in force to the data task */
void ctrl_manifest_flush (ctrl_t *ctrl);
/** ctrl_manifest_heard() - the peer @host_hash has @version in force */
void ctrl_manifest_heard (ctrl_t *ctrl, uint64_t version, uint64_t host_hash);
/** ctrl_manifest_version() - the version in force, 0 when there is none */
uint64_t ctrl_manifest_version (const ctrl_t *ctrl);

/* Fetch of the manifest from a peer */
/**
 * ctrl_fetch_start() - fetch the manifest in force from @host
 *
 * Does nothing while a fetch runs, and until about a second after the last one was started.
 */
void ctrl_fetch_start (ctrl_t *ctrl, const membership_host_t *host);
void ctrl_fetch_clear (ctrl_t *ctrl);

/* Outgoing messages of the exchange */
/**
 * ctrl_talk_fill() - compose a message
 * @to: the sender that is replied to, or NULL for a call to the host @callee_hash
 */
void ctrl_talk_fill (xch_message *message, const xch_word *to, void *context);
/** ctrl_talk_word() - a report of this daemon's state, with a new sequence */
membership_report_t ctrl_talk_word (ctrl_t *ctrl);
/** ctrl_talk_table() - load samples of a service, NULL for one out of force */
load_samples_t *ctrl_talk_table (const ctrl_t *ctrl, uint64_t service_hash);

/* Exchange with peers */
void ctrl_talk_init (ctrl_t *ctrl);
void ctrl_talk_clear (ctrl_t *ctrl);
/** ctrl_talk_heard() - process a received message. Return: whether to reply to it */
bool ctrl_talk_heard (const xch_message *message, bool is_reply, void *context);
/** ctrl_talk_pick() - the peer of the next periodic call. Return: false for none */
bool ctrl_talk_pick (set_address_t *peer, void *context);
/** ctrl_talk_call() - call a host now, if the byte budget allows it */
void ctrl_talk_call (ctrl_t *ctrl, const membership_host_t *host);
/** ctrl_talk_tell() - call up to @count different random peers now */
void ctrl_talk_tell (ctrl_t *ctrl, uint32_t count);
/** ctrl_talk_own_word() - apply a state report of this daemon to its own members */
void ctrl_talk_own_word (ctrl_t *ctrl);
/** ctrl_talk_version() - keep samples of just the services in force */
void ctrl_talk_version (ctrl_t *ctrl);
/** ctrl_talk_own_sample() - the data task measured the load of this daemon's engine */
void ctrl_talk_own_sample (ctrl_t *ctrl, const message_load_samples_t *message);
/** ctrl_talk_own_marks() - pass on marks of suspect requests that the data task made */
void ctrl_talk_own_marks (ctrl_t *ctrl, const message_crash_marks_t *message);

/* Freshness after a start or a pause */
void ctrl_fresh_init (ctrl_t *ctrl);
/** ctrl_fresh_check() - detect a pause; called first in each event handler */
void ctrl_fresh_check (ctrl_t *ctrl);
/** ctrl_fresh_woke() - the data task detected a pause that ended at @woke_us */
void ctrl_fresh_woke (ctrl_t *ctrl, uint64_t woke_us);
/** ctrl_fresh_heard_list() - a read of the list, begun at @started_us, has ended */
void ctrl_fresh_heard_list (ctrl_t *ctrl, uint64_t started_us, bool worked);
/** ctrl_fresh_heard_log() - a read of the log, begun at @started_us, has ended */
void ctrl_fresh_heard_log (ctrl_t *ctrl, uint64_t started_us, bool worked);
/** ctrl_fresh_heard_reply() - a reply of a peer with @version in force was applied */
void ctrl_fresh_heard_reply (ctrl_t *ctrl, uint64_t version);
/** ctrl_fresh_flush() - tell the data task once all is confirmed */
void ctrl_fresh_flush (ctrl_t *ctrl);

/* Claims of idempotency keys */
void ctrl_claims_init (ctrl_t *ctrl);
void ctrl_claims_clear (ctrl_t *ctrl);
/** ctrl_claims_turn() - advance all streams, close idle ones and probe a log that is down */
void ctrl_claims_turn (ctrl_t *ctrl);
/** ctrl_claims_ask() - claim an idempotency key; answered by MESSAGE_CLAIM_RESULT */
void ctrl_claims_ask (ctrl_t *ctrl, const message_claim_t *message);
/** ctrl_claims_end() - record that a claimed request has ended, or did not run */
void ctrl_claims_end (ctrl_t *ctrl, const message_claim_end_t *message);
/** ctrl_claims_note_log() - a read of the same log succeeded or failed */
void ctrl_claims_note_log (ctrl_t *ctrl, bool works);
/** ctrl_claims_idle() - whether nothing is left to append */
bool ctrl_claims_idle (const ctrl_t *ctrl);

/* Leaving and shutdown */
/** ctrl_stop_leave() - drain the data task and notify peers; @why is logged */
void ctrl_stop_leave (ctrl_t *ctrl, const char *why);
/** ctrl_stop_signal() - leave, and end the process once drained */
void ctrl_stop_signal (ctrl_t *ctrl);
/** ctrl_stop_drained() - the data task has no requests left */
void ctrl_stop_drained (ctrl_t *ctrl);
void ctrl_stop_turn (ctrl_t *ctrl);

#endif
