#include "odd_values.h"

#include <string.h>

#define DEEP 2000
#define DEEPER 60000
#define RECORD_BYTES_MAX 262144
#define CHANGES_MAX 4
#define ERASED_BYTES_MAX 12
#define CUT_BYTES 7

static const char *const odd_texts[] = {
  "null",
  "true",
  "false",
  "0",
  "-1",
  "1.5",
  "1e3",
  "1e18",
  "1e308",
  "1e999",
  "-1e999",
  "255",
  "65536",
  "4294967295",
  "4294967296",
  "9007199254740993",
  "9223372036854775807",
  "-9223372036854775808",
  "9223372036854775808",
  "18446744073709551616",
  "123456789012345678901234567890",
  "\"\"",
  "\" \"",
  "\"x\"",
  "\"8\"",
  "\"10.0.0.9:65536\"",
  "\"10.0.0.9:0\"",
  "\"10.0.0.9:99999999999999999999\"",
  "\"10.0.0.9:-1\"",
  "\"[::1]:8080\"",
  "\"[::1\"",
  "\"a\\u0000b\"",
  "\"\\ud800\"",
  "\"\\r\\nX-Tenant: other\"",
  "\"\xff\xfe\"",
  "[]",
  "[[]]",
  "[null,7,\"x\",{}]",
  "{}",
  "{\"\":{\"\":[]}}",
  "[",
  "}",
  "",
};

static GString *
repeat (const char *start, const char *text, const char *end, uint32_t count)
{
  GString *out = g_string_new (NULL);

  for (uint32_t i = 0; i < count; i++)
    g_string_append (out, start);
  g_string_append (out, text);
  for (uint32_t i = 0; i < count; i++)
    g_string_append (out, end);
  return out;
}

char *
odd_values_record (const odd_field_t *fields, uint32_t count, uint32_t position, const char *text)
{
  GString *out = g_string_new ("{");

  for (uint32_t i = 0; i < count; i++)
    if (i != position || text)
      g_string_append_printf (out, "%s\"%s\":%s", out->len > 1 ? "," : "", fields[i].name,
                              i == position ? text : fields[i].text);
  g_string_append_c (out, '}');
  return g_string_free (out, FALSE);
}

static void
take (GPtrArray *out, char *text)
{
  g_ptr_array_add (out, g_string_new (text));
  g_free (text);
}

static void
add_texts (GPtrArray *out, const odd_field_t *fields, uint32_t count, uint32_t position)
{
  GString *texts[] = { repeat ("[", "", "]", DEEP), repeat ("{\"a\":", "1", "}", DEEP),
                       repeat ("[", "", "]", DEEPER), repeat ("[", "", "", DEEPER),
                       repeat ("[1,", "2", "]", DEEPER) };
  g_autofree char *name = g_strnfill (RECORD_BYTES_MAX - 1024, 'n');
  g_autofree char *quoted = g_strdup_printf ("\"%s\"", name);

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      take (out, odd_values_record (fields, count, position, texts[i]->str));
      g_string_free (texts[i], TRUE);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (odd_texts); i++)
    take (out, odd_values_record (fields, count, position, odd_texts[i]));
  take (out, odd_values_record (fields, count, position, quoted));
  take (out, odd_values_record (fields, count, position, NULL));
}

/* A record that ends early, or that has a field twice. */
static void
add_whole (GPtrArray *out, const odd_field_t *fields, uint32_t count)
{
  g_autofree char *valid = odd_values_record (fields, count, count, NULL);
  GString *text;

  for (size_t bytes = 1; bytes < strlen (valid); bytes += CUT_BYTES)
    g_ptr_array_add (out, g_string_new_len (valid, (gssize)bytes));
  for (uint32_t i = 0; i < count; i++)
    {
      text = g_string_new (valid);
      g_string_truncate (text, text->len - 1);
      g_string_append_printf (text, ",\"%s\":null}", fields[i].name);
      g_ptr_array_add (out, text);
    }
  text = g_string_new (valid);
  g_string_append_len (text, "\0{}", 3);
  g_ptr_array_add (out, text);
  g_ptr_array_add (out, g_string_new_len ("\0", 1));
  text = g_string_new (valid);
  while (text->len < RECORD_BYTES_MAX)
    g_string_append_c (text, ' ');
  g_ptr_array_add (out, text);
}

static void
string_free (gpointer text)
{
  g_string_free (text, TRUE);
}

GPtrArray *
odd_values_make (const odd_field_t *fields, uint32_t count)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (string_free);

  for (uint32_t i = 0; i < count; i++)
    add_texts (out, fields, count, i);
  add_whole (out, fields, count);
  for (size_t i = 0; i < G_N_ELEMENTS (odd_texts); i++)
    if (odd_texts[i][0] != '\0')
      g_ptr_array_add (out, g_string_new (odd_texts[i]));
  return out;
}

static void
change (GRand *rand, GString *text)
{
  gsize at = (gsize)g_rand_int_range (rand, 0, (gint32)text->len + 1);
  gsize erased = (gsize)g_rand_int_range (rand, 1, ERASED_BYTES_MAX);
  guint token = (guint)g_rand_int_range (rand, 0, G_N_ELEMENTS (odd_texts));

  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0:
      g_string_insert_c (text, (gssize)at, (char)g_rand_int_range (rand, 0, 256));
      break;
    case 1:
      if (at < text->len)
        text->str[at] = (char)g_rand_int_range (rand, 0, 256);
      break;
    case 2:
      g_string_insert (text, (gssize)at, odd_texts[token]);
      break;
    default:
      g_string_erase (text, (gssize)at, (gssize)MIN (text->len - at, erased));
      break;
    }
}

void
odd_values_mutate (GRand *rand, GString *text)
{
  for (int32_t i = g_rand_int_range (rand, 1, CHANGES_MAX + 1); i > 0; i--)
    change (rand, text);
}
