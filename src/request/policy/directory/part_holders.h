/**
 * DOC: part_holders
 *
 * The engines that are known to have a shared part of prompts in their caches, with the time at
 * which each was last known to. A state machine without I/O; the caller passes the time.
 *
 * An engine is named by its hash, which includes the start time of its process, so a new process
 * under the same id holds nothing. Entries expire, as engines evict parts without telling. A wrong
 * entry costs one reading of the part.
 *
 * The table is bounded: where too many parts share a set of it, the one that was known least lately
 * is forgotten; likewise of the engines of a part.
 */
#ifndef REQUEST_POLICY_DIRECTORY_PART_HOLDERS_H
#define REQUEST_POLICY_DIRECTORY_PART_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

/* Engines of one part that are remembered. A popular part may have dozens, but one gateway needs
 * a few only, to send to or to copy from. */
#define PART_HOLDERS_PER_PART 8
/* Parts that share a set of the table. */
#define PART_HOLDERS_WAYS 8
/* Time after which an engine may have evicted a part. An engine with a cache of 507,096 tokens that
 * reads 2,000 new ones a second keeps a part for four minutes by calculation; running requests take
 * up to half of that memory, and bursts are several times the mean. */
#define PART_HOLDERS_LIFETIME_US (UINT64_C (60) * 1000 * 1000)
/* Time in which it has certainly not, unless its cache is overfull. */
#define PART_HOLDERS_CERTAIN_US (UINT64_C (10) * 1000 * 1000)

/* Requests of this gateway for a part from which on other gateways are told of it. */
#define PART_HOLDERS_SHARED_REQUESTS 2
/* They are told again after this time, while the engine still answers requests for the part. */
#define PART_HOLDERS_RETELL_US (PART_HOLDERS_LIFETIME_US / 2)
/* A report is passed on when it is later than what was told by this, so each gateway passes one on
 * once, although it gets it from several others. */
#define PART_HOLDERS_PASS_ON_US (PART_HOLDERS_RETELL_US / 2)

/** struct part_holders - the table */
typedef struct part_holders part_holders_t;

/**
 * struct part_holder - an engine that holds a part
 * @engine: its hash
 * @known_us: when it was last known to hold the part
 * @told_us: the latest such time that other gateways were told of; 0 for none
 */
typedef struct
{
  uint64_t engine;
  uint64_t known_us;
  uint64_t told_us;
} part_holder_t;

/** part_holders_new() - an empty table for about @parts parts */
part_holders_t *part_holders_new (uint32_t parts);
/** part_holders_free() - NULL is allowed */
void part_holders_free (part_holders_t *holders);
/** part_holders_note_answer() - records that @engine answered a request with @part. Return: whether
 * other gateways are to be told; they then count as told */
bool
part_holders_note_answer (part_holders_t *holders, uint64_t now_us, uint64_t part, uint64_t engine);
/**
 * part_holders_note_report() - records that another gateway knew @engine to hold @part at @known_us
 *
 * A time to come counts as now. The report is ignored when it has expired, is older than all that
 * is known of the part, or one of the hashes is 0.
 *
 * Return: whether it is to be passed on to other gateways; they then count as told
 */
bool part_holders_note_report (
    part_holders_t *holders, uint64_t now_us, uint64_t part, uint64_t engine, uint64_t known_us);
/** part_holders_get() - copies the engines that hold @part to @found, which has room for
 * %PART_HOLDERS_PER_PART. Return: their number */
uint32_t part_holders_get (const part_holders_t *holders,
                           uint64_t now_us,
                           uint64_t part,
                           part_holder_t *found);

#endif
