/**
 * DOC: read_policy
 *
 * Decides for one gateway whether it reads a stream of the platform's store itself or gets the
 * stream's records from a peer. A pure state machine, one for each stream of each gateway.
 *
 * A few gateways, the followers, read the store all the time. The others don't read it while their
 * copy is known to be current: while a peer that has the same position has had an answer of the
 * store lately, or knows of another gateway's. Such a peer confirms the copy. The others learn of
 * new records by a later position of a peer. So the calls to the store grow with the number of
 * followers and of new records and not with that of gateways: on a calm day of 103 gateways it took
 * 3,130 calls, and 7,566 when every gateway read for itself. No gateway depends on the followers:
 * one whose copy isn't confirmed any longer reads the store itself.
 */
#ifndef REQUEST_POLICY_STORE_READ_POLICY_H
#define REQUEST_POLICY_STORE_READ_POLICY_H

#include "base/position.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * How long an answer of the store counts as current. Followers get one every second, and it is
 * known to all of 30 gateways within another second, so 2 s is the shortest time that isn't
 * exceeded in normal operation. The loss of three followers delays new records by 2 s.
 */
#define READ_POLICY_FRESH_US (UINT64_C (2000) * 1000)
/* For a stream whose new records may take longer it is this share of struct
 * read_policy_stream.bound_us: a store's answer takes longer to become known to a hundred gateways,
 * and all those that don't know of it would read at once. */
#define READ_POLICY_FRESH_PERCENT 60
/* At most this share of the bound: the rest is for the next reader's turn, its read, and the time
 * until the others know of it. */
#define READ_POLICY_FRESH_MAX_PERCENT 75
/* While this gateway can't read the store it waits this long before it asks a peer for the new
 * records: a read that is being repeated may still bring them. */
#define READ_POLICY_ASK_PEER_US (UINT64_C (150) * 1000)

/** enum read_policy_action - what to do at the store now */
typedef enum
{
  READ_POLICY_WAIT,     /* read nothing */
  READ_POLICY_FOLLOW,   /* read continuously, with calls that wait for new records */
  READ_POLICY_READ_ONCE /* read once, with a call that does not wait */
} read_policy_action_t;

/*
 * When no peer confirms the copy any more, the followers are down or the store is unavailable. If
 * all other gateways read at once and repeated that during the outage, the calls would grow with
 * their number. So they read in turn, one each %READ_POLICY_TURN_US and each once in a round, until
 * the others know of an answer.
 */
#define READ_POLICY_TURN_US (UINT64_C (50) * 1000)
#define READ_POLICY_ROUND_MIN_US (UINT64_C (800) * 1000)

/*
 * For this long after the store's return a missing entry may have lapsed during the outage: engines
 * write their entries again within 2 s, and a read that began in the outage ends within one more.
 * With a longer time an entry that its engine removed would be taken for a lapsed one and kept for
 * another 2.5 s, here and at all peers that copy it, and the engine would get requests 3.0 to 3.3 s
 * after it left, where 3 s is allowed.
 */
#define READ_POLICY_LAPSE_US (UINT64_C (3000) * 1000)

/**
 * struct read_policy_stream - properties of a stream that don't change
 * @patience_us: how long the usual source of new records is waited for before the other one is
 *   tried too; the usual source is the store for followers, and a peer for the others
 * @bound_us: time within which a record of the stream must be in force at every gateway
 */
typedef struct
{
  uint64_t patience_us;
  uint64_t bound_us;
} read_policy_stream_t;

/**
 * struct read_policy_view - the state of a gateway and a stream at the moment of a decision
 * @is_follower: the gateway is a follower
 * @has_copy: it has a complete copy of the stream, from the store or from a peer
 * @store_call_failed: its last call to the store failed
 * @has_no_peers: no message of a peer came lately, so none can confirm the copy
 * @earlier_readers: gateways whose turn to read comes earlier in a round
 * @reader_count: gateways that read in a round
 * @answered_us: when the store last answered a read of this gateway that left none of its records
 *   missing; 0 for never
 * @read_started_us: when this gateway's last read began; 0 for never
 */
typedef struct
{
  bool is_follower;
  bool has_copy;
  bool store_call_failed;
  bool has_no_peers;
  uint32_t earlier_readers;
  uint32_t reader_count;
  uint64_t answered_us;
  uint64_t read_started_us;
} read_policy_view_t;

#define READ_POLICY_REPORTS 8 /* when full, the last two are taken for one */

/**
 * struct read_policy_report - a report of a peer that has a later position
 * @next: all records that the store had at @store_us are before this position
 * @store_us: when the store answered the peer, or the one from which it has the records
 * @reported_us: when a peer first reported a position later than that of the report before
 */
typedef struct
{
  position_t next;
  uint64_t store_us;
  uint64_t reported_us;
} read_policy_report_t;

/**
 * struct read_policy - state of one stream; all zero at the start
 * @current_as_of_us: when the store answered the peer that confirmed this gateway's copy, or the
 *   one from which that peer has it; 0 for never
 * @behind_since_us: since when a peer has had a later position; 0 when none has
 * @reports: those whose position this gateway has not reached, in order of position
 * @report_count: number of @reports
 * @ours: position up to which the gateway had the stream at the last update
 * @fetch_next: latest position reported when the fetch in progress began
 * @fetch_started_us: when that or the last fetch began
 * @fetch_due: a peer has reported a later position since the last failed fetch
 * @reading_since_us: when the gateway began to read because no peer confirmed its copy; 0
 *   once one does
 * @new_records_too_large: the peer declined to send the new records because they are large. They
 *   are read from the store at once, and asked of a peer again when they haven't come within the
 *   patience from that fetch on
 */
typedef struct
{
  uint64_t current_as_of_us;
  uint64_t behind_since_us;
  read_policy_report_t reports[READ_POLICY_REPORTS];
  uint32_t report_count;
  position_t ours;
  position_t fetch_next;
  uint64_t fetch_started_us;
  bool fetch_due;
  uint64_t reading_since_us;
  bool new_records_too_large;
} read_policy_t;

/**
 * read_policy_apply_peer() - applies a peer's message
 * @theirs: position up to which the peer has the stream
 * @ours: position up to which this gateway has it
 * @store_us: when the store answered the peer, or the one from which it has the records; 0 when
 *   that is not known
 */
void read_policy_apply_peer (read_policy_t *read_policy,
                             uint64_t now_us,
                             position_t theirs,
                             position_t ours,
                             uint64_t store_us);
/** read_policy_caught_up() - the new records came; @of_peer: from the peer, all that it had */
void read_policy_caught_up (read_policy_t *read_policy, bool of_peer);
/** read_policy_fetch_started() - a fetch from a peer begins */
void read_policy_fetch_started (read_policy_t *read_policy, uint64_t now_us);
/** read_policy_fetch_failed() - the fetch from the peer failed; its next message starts another.
 * The new records are still missing, so they are read from the store after the patience */
void read_policy_fetch_failed (read_policy_t *read_policy);
/** read_policy_fetch_ended() - the peer's copy was applied; it may lack the new records, which then
 * counts as a failed fetch. For @ours, see read_policy_update() */
void read_policy_fetch_ended (read_policy_t *read_policy,
                              const read_policy_view_t *view,
                              position_t ours);
/**
 * read_policy_update() - applies how far this gateway has the stream now
 * @ours: position up to which it has it
 *
 * New records count as missing until @ours reaches the position of the report, or until a read that
 * began after it has brought all that the store has.
 */
void
read_policy_update (read_policy_t *read_policy, const read_policy_view_t *view, position_t ours);
/** read_policy_fetch_too_large() - the peer declined the fetch: the new records are to be read from
 * the store */
void read_policy_fetch_too_large (read_policy_t *read_policy);
/** read_policy_current_as_of_us() - time up to which this gateway has all new records of the store;
 * 0 for never */
uint64_t read_policy_current_as_of_us (const read_policy_t *read_policy,
                                       const read_policy_view_t *view);
/** read_policy_decide() - decides what to read from the store now */
read_policy_action_t read_policy_decide (read_policy_t *read_policy,
                                         const read_policy_stream_t *stream,
                                         const read_policy_view_t *view,
                                         uint64_t now_us);
/** read_policy_should_ask_peer() - whether to fetch the new records now from the peer that has a
 * later position */
bool read_policy_should_ask_peer (const read_policy_t *read_policy,
                                  const read_policy_stream_t *stream,
                                  const read_policy_view_t *view,
                                  uint64_t now_us);

/**
 * read_policy_may_have_lapsed() - whether an entry that is found missing now may have lapsed in an
 * outage
 * @out_until_us: end of the store's last outage, see store_outage_end_us(); 0 for none
 * @unsure: the entry was dropped while this gateway could not read the store, or the peer that
 *   reports it is not sure either
 */
bool read_policy_may_have_lapsed (uint64_t out_until_us, bool unsure, uint64_t now_us);

#endif
