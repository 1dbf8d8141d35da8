#include "request/hop.h"

#include "base/digits.h"

#include <errno.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEAL_BYTES 65
#define SEPARATOR ';'

/* The fields of HOP_HEADER, in the order in which they are written. */
enum
{
  FIELD_ATTEMPT,
  FIELD_SERVICE,
  FIELD_ACCOUNT,
  FIELD_CLASS,
  FIELD_CHAT,
  FIELD_HOME,
  FIELD_FORMER,
  FIELD_FINGERPRINT,
  FIELD_KEY,
  FIELD_BODY,
  FIELD_CRASHED,
  FIELD_VERSION,
  FIELD_LOADS,
  FIELD_DEADLINE,
  FIELD_PROMPT,
  FIELD_OUTPUT,
  FIELD_FLAGS,
  FIELD_COUNT
};

#define SAMPLE_BYTES (16 + 4 * 10 + 5) /* a hash, four numbers, five separators */

/* A value holds three pairs, the hashes, the names, the samples and the numbers, each with its
 * separator. */
G_STATIC_ASSERT (3 * 33 + 5 * 17 + 3 * LIMIT_NAME_BYTES + HOP_SAMPLES_MAX * SAMPLE_BYTES +
                     5 * (DIGITS_U64_BYTES + 1) <
                 HOP_VALUE_BYTES);
G_STATIC_ASSERT (HOP_HEADER_COUNT *(sizeof (hop_header_t) + 4) <= HOP_HEADERS_MAX_BYTES);
G_STATIC_ASSERT (LIMIT_SUSPECT_CRASHES == 2); /* they are written as a pair */

#define FLAG_HAS_CHAT (1U << 0)
#define FLAG_MAY_WAIT (1U << 1)
#define FLAG_REFERRED (1U << 2)
#define FLAG_IDEMPOTENT (1U << 3)

/* The HMAC covers the name of the header too, so that no other sealed text is valid in its place.
 */
static void
compute_seal (const char *fleet_key, const char *value, char out[SEAL_BYTES])
{
  GHmac *hmac;

  hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)fleet_key, strlen (fleet_key));
  g_hmac_update (hmac, (const guchar *)HOP_HEADER ":", strlen (HOP_HEADER ":"));
  g_hmac_update (hmac, (const guchar *)value, (gssize)strlen (value));
  g_strlcpy (out, g_hmac_get_string (hmac), SEAL_BYTES);
  g_hmac_unref (hmac);
}

/* Compares in constant time, so that a seal can't be guessed byte by byte. */
static bool
seal_matches (const char *given, const char *right)
{
  unsigned char difference = 0;

  if (strlen (given) != strlen (right))
    return false;
  for (size_t i = 0; right[i] != '\0'; i++)
    difference |= (unsigned char)(given[i] ^ right[i]);
  return difference == 0;
}

static bool
parse_hash (const char *text, uint64_t *out)
{
  *out = 0;
  return text[0] == '\0' || (strlen (text) == DIGITS_HEX_BYTES && digits_parse_hex (text, out));
}

static bool
parse_pair (const char *text, uint64_t out[2])
{
  return text[0] == '\0' || hop_parse_attempt (text, out);
}

static bool
parse_decimal (const char *text, uint64_t max, uint64_t *out)
{
  return g_ascii_string_to_unsigned (text, 10, 0, max, out, NULL);
}

static bool
parse_u32 (const char *text, uint32_t *out)
{
  uint64_t value;

  if (!parse_decimal (text, UINT32_MAX, &value))
    return false;
  *out = (uint32_t)value;
  return true;
}

static bool
parse_name (const char *text, char out[LIMIT_NAME_BYTES])
{
  return text[0] != '\0' && g_strlcpy (out, text, LIMIT_NAME_BYTES) < LIMIT_NAME_BYTES;
}

/* Splits @text in place. Return: the number of parts, or @max + 1 when there are more than @max */
static uint32_t
split_fields (char *text, char separator, char **parts, uint32_t max)
{
  uint32_t count = 0;
  char *next = text;

  while (next != NULL && count < max)
    {
      parts[count++] = next;
      next = strchr (next, separator);
      if (next != NULL)
        *next++ = '\0';
    }
  return next == NULL ? count : max + 1;
}

/* Parses ENGINE/LOAD/WAITING/COST/AGE_MS. */
static bool
parse_sample (char *text, hop_sample_t *sample)
{
  char *parts[5];

  return split_fields (text, '/', parts, 5) == 5 && parse_hash (parts[0], &sample->engine_hash) &&
         parse_u32 (parts[1], &sample->load) && parse_u32 (parts[2], &sample->waiting) &&
         parse_u32 (parts[3], &sample->cost) && parse_u32 (parts[4], &sample->age_ms);
}

static bool
parse_samples (char *text, hop_t *hop)
{
  char *parts[HOP_SAMPLES_MAX];
  uint32_t count = text[0] != '\0' ? split_fields (text, ',', parts, HOP_SAMPLES_MAX) : 0;

  if (count > HOP_SAMPLES_MAX)
    return false;
  for (uint32_t i = 0; i < count; i++)
    if (!parse_sample (parts[i], &hop->samples[i]))
      return false;
  hop->sample_count = count;
  return true;
}

static bool
parse_flags (const char *text, hop_t *hop)
{
  uint32_t flags;

  if (!parse_u32 (text, &flags))
    return false;
  hop->has_chat = (flags & FLAG_HAS_CHAT) != 0;
  hop->may_wait = (flags & FLAG_MAY_WAIT) != 0;
  hop->referred = (flags & FLAG_REFERRED) != 0;
  hop->idempotent = (flags & FLAG_IDEMPOTENT) != 0;
  return true;
}

static bool
parse_all (hop_t *hop, char *const values[FIELD_COUNT])
{
  return hop_parse_attempt (values[FIELD_ATTEMPT], hop->attempt) &&
         parse_name (values[FIELD_SERVICE], hop->service) &&
         parse_name (values[FIELD_ACCOUNT], hop->account) &&
         parse_name (values[FIELD_CLASS], hop->class_name) &&
         parse_hash (values[FIELD_CHAT], &hop->chat_hash) &&
         parse_hash (values[FIELD_HOME], &hop->home_hash) &&
         parse_hash (values[FIELD_FORMER], &hop->former_home_hash) &&
         parse_hash (values[FIELD_FINGERPRINT], &hop->fingerprint) &&
         parse_pair (values[FIELD_KEY], hop->key_hash) &&
         parse_hash (values[FIELD_BODY], &hop->body_hash) &&
         parse_pair (values[FIELD_CRASHED], hop->crashed) &&
         parse_decimal (values[FIELD_VERSION], UINT64_MAX, &hop->version) &&
         parse_samples (values[FIELD_LOADS], hop) &&
         parse_u32 (values[FIELD_DEADLINE], &hop->deadline_ms) &&
         parse_u32 (values[FIELD_PROMPT], &hop->prompt_tokens) &&
         parse_u32 (values[FIELD_OUTPUT], &hop->output_tokens) &&
         parse_flags (values[FIELD_FLAGS], hop);
}

static uint32_t
pack_flags (const hop_t *hop)
{
  return (hop->has_chat ? FLAG_HAS_CHAT : 0) | (hop->may_wait ? FLAG_MAY_WAIT : 0) |
         (hop->referred ? FLAG_REFERRED : 0) | (hop->idempotent ? FLAG_IDEMPOTENT : 0);
}

/* Return: the end of the written text, as from all writers below. 0 is written as an empty field:
 * most requests have neither a key nor a crash, and the HMAC of every byte is computed at both
 * ends. */
static char *
write_hash (char *out, uint64_t value)
{
  return value != 0 ? digits_write_hex (out, value) : out;
}

static char *
write_name (char *out, const char *name)
{
  g_assert (strchr (name, SEPARATOR) == NULL);
  return g_stpcpy (out, name);
}

static char *
write_samples (char *out, const hop_t *hop)
{
  for (uint32_t i = 0; i < hop->sample_count; i++)
    {
      const hop_sample_t *sample = &hop->samples[i];

      if (i > 0)
        *out++ = ',';
      out = digits_write_hex (out, sample->engine_hash);
      *out++ = '/';
      out = digits_write_u64 (out, sample->load);
      *out++ = '/';
      out = digits_write_u64 (out, sample->waiting);
      *out++ = '/';
      out = digits_write_u64 (out, sample->cost);
      *out++ = '/';
      out = digits_write_u64 (out, sample->age_ms);
    }
  return out;
}

static char *
write_pair (char *out, const uint64_t pair[2])
{
  if (pair[0] == 0 && pair[1] == 0)
    return out;
  return digits_write_hex (digits_write_hex (out, pair[0]), pair[1]);
}

static char *
write_field (char *out, const hop_t *hop, uint32_t field)
{
  switch (field)
    {
    case FIELD_ATTEMPT:
      return write_pair (out, hop->attempt);
    case FIELD_SERVICE:
      return write_name (out, hop->service);
    case FIELD_ACCOUNT:
      return write_name (out, hop->account);
    case FIELD_CLASS:
      return write_name (out, hop->class_name);
    case FIELD_CHAT:
      return write_hash (out, hop->chat_hash);
    case FIELD_HOME:
      return write_hash (out, hop->home_hash);
    case FIELD_FORMER:
      return write_hash (out, hop->former_home_hash);
    case FIELD_FINGERPRINT:
      return write_hash (out, hop->fingerprint);
    case FIELD_KEY:
      return write_pair (out, hop->key_hash);
    case FIELD_BODY:
      return write_hash (out, hop->body_hash);
    case FIELD_CRASHED:
      return write_pair (out, hop->crashed);
    case FIELD_VERSION:
      return digits_write_u64 (out, hop->version);
    case FIELD_LOADS:
      return write_samples (out, hop);
    case FIELD_DEADLINE:
      return digits_write_u64 (out, hop->deadline_ms);
    case FIELD_PROMPT:
      return digits_write_u64 (out, hop->prompt_tokens);
    case FIELD_OUTPUT:
      return digits_write_u64 (out, hop->output_tokens);
    default:
      return digits_write_u64 (out, pack_flags (hop));
    }
}

uint32_t
hop_write (const hop_t *hop, const char *fleet_key, hop_header_t out[HOP_HEADER_COUNT])
{
  char *end = out[0].value;

  for (uint32_t field = 0; field < FIELD_COUNT; field++)
    {
      if (field > 0)
        *end++ = SEPARATOR;
      end = write_field (end, hop, field);
    }
  *end = '\0';
  g_strlcpy (out[0].name, HOP_HEADER, sizeof out[0].name);
  g_strlcpy (out[1].name, HOP_SEAL_HEADER, sizeof out[1].name);
  compute_seal (fleet_key, out[0].value, out[1].value);
  return HOP_HEADER_COUNT;
}

hop_read_result_t
hop_read (hop_t *hop, const char *fleet_key, struct evkeyvalq *headers)
{
  const char *value = evhttp_find_header (headers, HOP_HEADER);
  const char *given = evhttp_find_header (headers, HOP_SEAL_HEADER);
  char *fields[FIELD_COUNT];
  char text[HOP_VALUE_BYTES];
  char right[SEAL_BYTES];

  if (given == NULL || value == NULL)
    return HOP_BAD_SEAL;
  compute_seal (fleet_key, value, right);
  if (!seal_matches (given, right))
    return HOP_BAD_SEAL;
  memset (hop, 0, sizeof *hop);
  if (g_strlcpy (text, value, sizeof text) >= sizeof text ||
      split_fields (text, SEPARATOR, fields, FIELD_COUNT) != FIELD_COUNT)
    return HOP_MALFORMED;
  return parse_all (hop, fields) ? HOP_OK : HOP_MALFORMED;
}

void
hop_format_load (const hop_sample_t *sample, char out[48])
{
  snprintf (out, 48, "%" PRIu32 "/%" PRIu32 "/%" PRIu32, sample->load, sample->waiting,
            sample->cost);
}

bool
hop_parse_load (const char *text, hop_sample_t *sample)
{
  g_auto (GStrv) parts = g_strsplit (text != NULL ? text : "", "/", 4);

  return g_strv_length (parts) == 3 && parse_u32 (parts[0], &sample->load) &&
         parse_u32 (parts[1], &sample->waiting) && parse_u32 (parts[2], &sample->cost);
}

void
hop_format_attempt (const uint64_t attempt[2], char out[33])
{
  *digits_write_hex (digits_write_hex (out, attempt[0]), attempt[1]) = '\0';
}

bool
hop_parse_attempt (const char *text, uint64_t attempt[2])
{
  return strlen (text) == 2 * DIGITS_HEX_BYTES && digits_parse_hex (text, &attempt[0]) &&
         digits_parse_hex (text + DIGITS_HEX_BYTES, &attempt[1]);
}

unsigned int
hop_hash_attempt (const void *attempt)
{
  const uint64_t *id = attempt;

  return (unsigned int)(id[0] ^ id[1] ^ id[1] >> 32);
}

int
hop_equal_attempt (const void *left, const void *right)
{
  return memcmp (left, right, 2 * sizeof (uint64_t)) == 0;
}
