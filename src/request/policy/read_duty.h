/**
 * DOC: read_duty
 *
 * Who reads a stream of the platform's store, and who takes from a peer what it lacks. A pure state
 * machine, one for each stream of each gateway.
 *
 * A few gateways follow the store closely. The others rest while a peer that knows as much as they
 * do heard the store lately, itself or by another one; news reaches them as the peer's higher
 * offset. So calls to the store grow with the few and with the news, not with the gateways: on a
 * calm day of 103 gateways 7,566 calls were made when each followed by itself, 3,130 so. No gateway
 * depends on the few: what is vouched for no longer, each reads itself.
 */
#ifndef REQUEST_POLICY_READ_DUTY_H
#define REQUEST_POLICY_READ_DUTY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A gateway that nobody vouches for reads by itself after this. The few hear the store every
 * second, and their word passes on to all within a second at 30 gateways, so two is the least that
 * is not reached in calm; three lost followers make news two seconds late.
 */
#define RDU_VOUCHED_US (UINT64_C (2000) * 1000)
/* Where news may take longer than usual, so many percent of it count instead: word takes longer to
 * reach a hundred gateways, and all that have not heard it read at once. */
#define RDU_VOUCHED_PERCENT 60
/* And no more than so many: the rest is for the turn of the next one, its read, and its word. */
#define RDU_VOUCHED_MOST_PERCENT 75
/* While the store can't be read here, a peer is asked for its news after this: it could still
 * come by a read that is just beginning again. */
#define RDU_ASK_LOST_US (UINT64_C (150) * 1000)

typedef enum
{
  RDU_REST,   /* nothing is read */
  RDU_FOLLOW, /* reads that wait for records, one after the other */
  RDU_READ    /* one read, that does not wait */
} rdu_read_t;

/*
 * Where nobody vouches any more, the few are lost or the store is out. Were all that rest to read
 * then, and go on while it is out, its calls would grow with the gateways: they read in turn, so
 * long one after the other, each once in a round, until the word of one that was answered reaches
 * the others.
 */
#define RDU_TURN_US (UINT64_C (50) * 1000)
#define RDU_ROUND_MIN_US (UINT64_C (800) * 1000)

/*
 * So long after the store's return entries may be found to have lapsed while it was out: engines
 * are back in it two seconds after, and a read that began in the outage ends within one. Taken for
 * lapsed later, an entry that was removed since is kept for 2.5 s more, here and at all peers that
 * take it over, and its engine gets requests after it has left: 3.0 to 3.3 s after, where 3 s is
 * allowed.
 */
#define RDU_LAPSE_US (UINT64_C (3000) * 1000)

/**
 * struct rdu_stream - what does not change of a stream
 * @patience_us: the way by which news should come is waited for so long, before the other one is
 *   tried too: peers, for those that rest, and the store for the few
 * @bound_us: within which its news must be in force
 */
typedef struct
{
  uint64_t patience_us;
  uint64_t bound_us;
} rdu_stream_t;

/**
 * struct rdu_view - how a gateway stands to the stream now
 * @close: it is one of the few
 * @listed: it has read it whole, or a peer's copy
 * @lost: its last call to the store failed
 * @alone: no peer was heard lately, so none could vouch
 * @before, @count: gateways that read before it in a round, and in all
 * @own_us: when its own last read of the stream was answered, 0 for never
 * @tried_us: when its own last read began, 0 for never
 */
typedef struct
{
  bool close;
  bool listed;
  bool lost;
  bool alone;
  uint32_t before;
  uint32_t count;
  uint64_t own_us;
  uint64_t tried_us;
} rdu_view_t;

/**
 * struct rdu - zeroed to begin with
 * @fresh_us: when the store was heard, by a peer that knew no more than this gateway
 * @behind_us: since when a peer has had more, 0 when none has
 * @ahead_us: when that peer, or whom it has it from, heard the store
 * @took_us: when it began to read as nobody vouched any more; 0 once a peer has vouched since
 * @large: the peer does not tell the news, as it is large: it is read at the store at once, and
 *   taken from a peer all the same when it has not come by the end of the patience
 */
typedef struct
{
  uint64_t fresh_us;
  uint64_t behind_us;
  uint64_t ahead_us;
  uint64_t took_us;
  bool large;
} rdu_t;

/** rdu_heard() - a peer knows the stream up to @theirs, this gateway up to @ours; the peer heard
 * the store at @store_us, 0 when that is not known */
void rdu_heard (rdu_t *rdu, uint64_t now_us, uint64_t theirs, uint64_t ours, uint64_t store_us);
/** rdu_caught_up() - news came: from the store, or all that the peer had (@of_peer) */
void rdu_caught_up (rdu_t *rdu, bool of_peer);
/** rdu_give_up() - the peer's copy could not be had; the next message tells again */
void rdu_give_up (rdu_t *rdu);
/** rdu_is_large() - the peer that was asked says that the news is to be read at the store */
void rdu_is_large (rdu_t *rdu);
/** rdu_known_us() - up to when all news of the store is known here; 0 for never */
uint64_t rdu_known_us (const rdu_t *rdu, const rdu_view_t *view);
/** rdu_read() - what to read at the store now */
rdu_read_t
rdu_read (rdu_t *rdu, const rdu_stream_t *stream, const rdu_view_t *view, uint64_t now_us);
/** rdu_asks_peer() - whether to take the stream's news from the peer that has more, now */
bool rdu_asks_peer (const rdu_t *rdu,
                    const rdu_stream_t *stream,
                    const rdu_view_t *view,
                    uint64_t now_us);

/** rdu_may_have_lapsed() - whether an entry that is found dropped now may have lapsed while the
 * store was out, until @out_until_us (0 for never); @unsure: it was dropped while the store could
 * not be read here, or the peer that tells of it is not sure */
bool rdu_may_have_lapsed (uint64_t out_until_us, bool unsure, uint64_t now_us);

#endif
