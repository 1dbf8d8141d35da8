/**
 * DOC: version_shares
 *
 * At which software version of a service a stream begins: a function of the stream's id and of a
 * table with the versions' shares of all ids. All gateways use the same table, which is kept in the
 * platform's store, so each of them knows where any stream began, also when all the others were
 * lost.
 *
 * The shares follow the engines in the registry. As they change, some ids get another version. The
 * tables before stay in the history for as long as streams last: where all tables agree on an id,
 * its version is certain; for the others see stream_lists.h. A table is announced before it is put
 * in force, for longer than a gateway whose registry counts as current may be behind: each of these
 * knows all tables by which streams may begin. Pure functions and a state machine without I/O.
 */
#ifndef REQUEST_POLICY_STREAMS_VERSION_SHARES_H
#define REQUEST_POLICY_STREAMS_VERSION_SHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VERSION_SHARES_MAX 8  /* versions in a table; further ones begin no streams */
#define VERSION_TABLES_MAX 32 /* tables in a history */
#define VERSION_SERVED_MAX                                                                         \
  32 /* versions that a gateway remembers; further ones count as not seen */
/* Far more tables than can have been made between two records that a gateway reads. */
#define VERSION_EPOCH_LEAP (UINT64_C (1) << 20)
/* Time for which a table is announced: longer than a registry that counts as current is behind. */
#define VERSION_SHARES_ANNOUNCED_US (UINT64_C (3000) * 1000)
/* Minimum time between two announcements, so that several engines that come together count
 * together.
 */
#define VERSION_SHARES_PACE_US (UINT64_C (1000) * 1000)
/* Engines that are gone for a shorter time don't change the shares: crashed ones are back by then,
 * and so are the entries that expired while the store was out. */
#define VERSION_SHARES_LOSS_US (UINT64_C (2500) * 1000)
/* A version that has lost all its engines for this long gets no more streams. One that was never
 * seen may be about to come back with a store that was out. */
#define VERSION_SHARES_GONE_US (UINT64_C (400) * 1000)
/* A change of the shares is worth a new table from this part of all ids on, or where a version's
 * share changes by this factor. */
#define VERSION_SHARES_CHANGE_MILLI 50
#define VERSION_SHARES_RATIO_MILLI 1250

/** struct version_share - @weight: in proportion to the version's share of all streams; above 0 */
typedef struct
{
  uint64_t version;
  uint32_t weight;
} version_share_t;

/** struct version_table - @epoch: its number, from 1; @shares: by version */
typedef struct
{
  uint64_t epoch;
  uint32_t count;
  version_share_t shares[VERSION_SHARES_MAX];
} version_table_t;

/** enum version_gap - what the store may have forgotten of open streams, as it came back from a
 * copy
 */
typedef enum
{
  VERSION_GAP_NONE,
  VERSION_GAP_LISTS,    /* gateways and their lists: that a stream is in no list tells nothing */
  VERSION_GAP_TABLES,   /* tables too: only a stream that is in a list is certain */
  VERSION_GAP_ANNOUNCED /* likewise, and no stream may begin yet: a gateway may still state the
                           tables that it knows */
} version_gap_t;

/**
 * struct version_history - the tables of a service that matter for open streams
 * @count: 0 when the service has no table yet
 * @in_force: epoch of the table by which streams begin; later ones are announced
 * @era: of the store when the history was written. In a later one the store may have forgotten
 *   tables after these
 * @gap: for as long as streams of before may be open
 * @tables: the oldest first
 */
typedef struct
{
  uint32_t count;
  uint64_t in_force;
  uint64_t era;
  version_gap_t gap;
  version_table_t tables[VERSION_TABLES_MAX];
} version_history_t;

/** version_table_make() - a table of the @count shares, or the largest of them */
version_table_t version_table_make (const version_share_t *shares, uint32_t count);
/** version_table_choose() - the version at which @stream begins. Weighted rendezvous hashing: as
 * shares change, the fewest streams get another version. Return: 0 for an empty table */
uint64_t version_table_choose (const version_table_t *table, uint64_t stream);
/** version_history_get() - the table with the number @epoch, or NULL */
const version_table_t *version_history_get (const version_history_t *history, uint64_t epoch);
/** version_history_has() - whether a table has @version */
bool version_history_has (const version_history_t *history, uint64_t version);
/** version_history_find() - the version that all tables from the number @floor on choose for
 * @stream. Return: 0 when they differ, there is none, or others may have been forgotten; with a
 * @floor also when lists may */
uint64_t version_history_find (const version_history_t *history, uint64_t floor, uint64_t stream);
/** version_history_sole() - the only version that the tables have. Return: 0 when there are several
 * or none, or others may have been forgotten */
uint64_t version_history_sole (const version_history_t *history);
/** version_history_format() - as text, to be freed by g_free() */
char *version_history_format (const version_history_t *history);
/** version_history_parse() - parses what version_history_format() formats. Return: false for any
 * other text */
bool version_history_parse (const char *text, size_t bytes, version_history_t *out);

/** version_history_may_follow() - whether a gateway that knows @known, which may be empty, can have
 * read @history of a sound writer in @era of the store. One that another writer made may use up the
 * numbers of tables, or make those of sound writers look older */
bool version_history_may_follow (const version_history_t *known,
                                 const version_history_t *history,
                                 uint64_t era);

/**
 * struct version_shares - the history of a service as one gateway has seen it
 * @seen_us: for each table, when this gateway first saw it
 * @in_force_us: when it first saw it in force; 0 before that
 * @served: versions that this gateway has seen engines of, the first @served_count ones
 * @gone_since_us: since when a version of the table in force has no engines; 0 when each has
 * @losses_since_us: since when engines are gone and none is new, by the last table; 0 when not
 * @gap_since_us: when this gateway first saw the gap of the history
 */
typedef struct
{
  version_history_t history;
  uint64_t seen_us[VERSION_TABLES_MAX];
  uint64_t in_force_us[VERSION_TABLES_MAX];
  uint64_t losses_since_us;
  uint64_t gone_since_us;
  uint64_t gap_since_us;
  uint64_t served[VERSION_SERVED_MAX];
  uint32_t served_count;
} version_shares_t;

/** version_shares_update() - takes over a history from the store */
void
version_shares_update (version_shares_t *shares, uint64_t now_us, const version_history_t *history);
/** version_history_begin() - a history of the table @wanted, which is announced, for an @era in
 * which nobody knows the tables before */
version_history_t version_history_begin (const version_table_t *wanted, uint64_t era);
/**
 * version_shares_plan() - the next step of the history
 * @wanted: shares by the engines in the registry now
 * @lifetime_us: longest time from the begin of a stream to its last resumption
 * @out: the history that is to be written into the store
 *
 * Return: whether there is a step
 */
bool version_shares_plan (version_shares_t *shares,
                          uint64_t now_us,
                          const version_table_t *wanted,
                          uint64_t lifetime_us,
                          version_history_t *out);

#endif
