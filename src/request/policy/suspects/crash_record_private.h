/**
 * DOC: crash_record_private
 *
 * Declarations shared by crash_record.c, which decides what counts as a crash and what may be sent,
 * crash_record_retrial.c, which decides when a refused part is tried again and by whom, and
 * crash_record_tell.c, which decides what the other gateways are told, and when.
 */
#ifndef REQUEST_POLICY_SUSPECTS_CRASH_RECORD_PRIVATE_H
#define REQUEST_POLICY_SUSPECTS_CRASH_RECORD_PRIVATE_H

#include "request/policy/suspects/crash_record.h"
#include "request/policy/suspects/loss_bursts.h"
#include "request/policy/suspects/recent_answers.h"

#include <glib.h>

/**
 * struct crash - an engine that ended under a request
 * @sent_us: when the request was sent to it; 0 when unknown. Earlier if the engine may have ended
 *   before it came
 * @request: of a part, low half of the fingerprint of that request; 0 when unknown
 * @certain: the registry shows it
 * @service_hash: service of the engine, 0 when unknown
 * @together: engines that broke off under the same subject and do not count, as they may have the
 *   cause of this one
 * @last_together: the last of these
 */
typedef struct
{
  uint64_t engine_hash;
  uint64_t sent_us;
  uint32_t request;
  uint64_t lost_us;
  bool certain;
  uint64_t service_hash;
  uint32_t together;
  uint64_t last_together;
} crash_t;

/**
 * struct claim - a retrial that a gateway claims
 * @at_us: when; 0 for never
 * @request: low half of the fingerprint of the request
 * @own_request: the whole fingerprint if it came to this gateway, else 0
 */
typedef struct
{
  uint64_t at_us;
  uint32_t request;
  uint64_t own_request;
} claim_t;

/**
 * struct entry - a request or part
 * @crashes: in the order of their times, @count of them
 * @is_cleared: it was served, and has no crashes since
 * @changed_us: time of the last crash, or when it was cleared
 * @final_us: time of the crash from which on it is refused
 * @confirmed: of a part, see crash_record_confirm()
 * @later: the last own crash since then, if @has_later
 * @claim: the last claim of a retrial, of this gateway or another one
 * @losses: own losses since it was served, also those that do not count
 * @ran_us: as in crash_record_loss_t, of the last own loss
 * @held_until_us: it is told from then on
 * @sends_left: messages to any peer that are still to carry it
 * @owners_due: the owners of the fingerprint are still to be told
 * @told: to the owners or to all
 */
typedef struct
{
  uint64_t fingerprint;
  crash_subject_kind_t kind;
  crash_t crashes[CRASH_MARK_ENGINES];
  uint32_t count;
  bool is_cleared;
  uint64_t changed_us;
  uint64_t final_us;
  bool confirmed;
  crash_t later;
  bool has_later;
  claim_t claim;
  uint32_t losses;
  uint64_t ran_us;
  uint64_t held_until_us;
  uint32_t sends_left;
  bool owners_due;
  bool told;
} entry_t;

/**
 * struct crash_record - the subjects
 * @unproven_us: when it was last unknown which entries of the registry have gone
 * @next: entry that is sent next in turn
 * @looked_at: entry that is looked at next to make room
 * @news_us: from when on there is a change to be told to all; 0 for none
 */
struct crash_record
{
  crash_record_options_t options;
  GHashTable *by_fingerprint;
  GPtrArray *list; /* entry_t */
  recent_answers_t *served;
  loss_bursts_t bursts;
  uint64_t unproven_us;
  guint next;
  guint looked_at;
  uint64_t news_us;
};

static inline bool
is_final (const entry_t *entry)
{
  return entry->count == CRASH_MARK_ENGINES;
}

static inline const crash_t *
last_crash (const entry_t *entry)
{
  return &entry->crashes[entry->count - 1];
}

static inline entry_t *
find_entry (const crash_record_t *record, uint64_t fingerprint)
{
  return g_hash_table_lookup (record->by_fingerprint, &fingerprint);
}

/** crash_record_review_entry() - compares the crashes that are not certain with what is known of
 * their engines now, and drops those that count no more */
void crash_record_review_entry (crash_record_t *record, uint64_t now_us, entry_t *entry);
/** crash_record_announce() - all gateways are to be told of the entry, by @sends messages */
void crash_record_announce (crash_record_t *record, entry_t *entry, uint32_t sends);
/** crash_record_has_claim() - whether a retrial begins or runs */
bool crash_record_has_claim (const entry_t *entry, uint64_t now_us);
/** crash_record_merge_claim() - applies the claim of a mark, if it has one. Return: whether it was
 * not known */
bool crash_record_merge_claim (crash_record_t *record,
                               uint64_t now_us,
                               entry_t *entry,
                               const crash_mark_t *mark);

#endif
