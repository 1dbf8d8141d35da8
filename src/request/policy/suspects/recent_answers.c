#include "request/policy/suspects/recent_answers.h"

#include <glib.h>

typedef struct
{
  uint64_t fingerprint;
  uint64_t answered_us; /* 0 for an empty entry */
} entry_t;

struct recent_answers
{
  entry_t *entries;
  uint32_t count;
  uint64_t lifetime_us;
};

static entry_t *
entry_at (const recent_answers_t *answers, uint64_t fingerprint)
{
  return &answers->entries[fingerprint % answers->count];
}

recent_answers_t *
recent_answers_new (uint32_t entries, uint64_t lifetime_us)
{
  recent_answers_t *answers = g_new0 (recent_answers_t, 1);

  answers->entries = g_new0 (entry_t, entries);
  answers->count = entries;
  answers->lifetime_us = lifetime_us;
  return answers;
}

void
recent_answers_free (recent_answers_t *answers)
{
  if (answers == NULL)
    return;
  g_free (answers->entries);
  g_free (answers);
}

void
recent_answers_add (recent_answers_t *answers, uint64_t now_us, uint64_t fingerprint)
{
  *entry_at (answers, fingerprint) = (entry_t){ .fingerprint = fingerprint, .answered_us = now_us };
}

void
recent_answers_remove (recent_answers_t *answers, uint64_t fingerprint)
{
  entry_t *entry = entry_at (answers, fingerprint);

  if (entry->fingerprint == fingerprint)
    entry->answered_us = 0;
}

bool
recent_answers_contain_within (const recent_answers_t *answers,
                               uint64_t now_us,
                               uint64_t fingerprint,
                               uint64_t within_us)
{
  const entry_t *entry = entry_at (answers, fingerprint);

  return entry->answered_us != 0 && entry->fingerprint == fingerprint &&
         now_us < entry->answered_us + within_us;
}

bool
recent_answers_contain (const recent_answers_t *answers, uint64_t now_us, uint64_t fingerprint)
{
  return recent_answers_contain_within (answers, now_us, fingerprint, answers->lifetime_us);
}
