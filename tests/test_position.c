/* Unit tests of positions in streams that may come back from a copy. */
#include "base/position.h"
#include "suite.h"

#include <string.h>

/* Guards against a higher offset of an era before that counts as the later position. */
static void
test_era_goes_before_offset (void)
{
  position_t before = { 1, 70 };
  position_t after = { 2, 3 };

  CU_ASSERT (position_is_before (before, after));
  CU_ASSERT (!position_is_before (after, before));
  CU_ASSERT (!position_is_before (after, after));
  CU_ASSERT (position_is_before (after, (position_t){ 2, 4 }));
  CU_ASSERT (position_equal (position_later (before, after), after));
  CU_ASSERT (position_equal (position_later (after, before), after));
  CU_ASSERT (!position_equal (before, (position_t){ 2, 70 }));
}

static void
test_response_without_an_era_is_of_the_known_one (void)
{
  position_t known = { 4, 9 };

  CU_ASSERT (position_equal (position_from (known, 0, 2), (position_t){ 4, 2 }));
  CU_ASSERT (position_equal (position_from (known, 5, 2), (position_t){ 5, 2 }));
}

static void
test_text (void)
{
  static const position_t positions[] = {
    { 0, 0 }, { 0, 17 }, { 3, 0 }, { UINT64_MAX, UINT64_MAX }
  };
  static const char *const texts[] = { "0", "17", "3.0",
                                       "18446744073709551615.18446744073709551615" };
  static const char *const invalid[] = { "", ".", "1.", ".1", "0.1", "1.2.3", "-1", "x", "1 .2" };
  char text[POSITION_TEXT_BYTES];
  position_t parsed;

  for (size_t i = 0; i < sizeof positions / sizeof *positions; i++)
    {
      position_format (positions[i], text);
      CU_ASSERT_STRING_EQUAL (text, texts[i]);
      CU_ASSERT (position_parse (text, &parsed));
      CU_ASSERT (position_equal (parsed, positions[i]));
    }
  for (size_t i = 0; i < sizeof invalid / sizeof *invalid; i++)
    CU_ASSERT (!position_parse (invalid[i], &parsed));
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_era_goes_before_offset),
                                       SUITE_TEST (
                                           test_response_without_an_era_is_of_the_known_one),
                                       SUITE_TEST (test_text), CU_TEST_INFO_NULL };

  return suite_run ("position", tests);
}
