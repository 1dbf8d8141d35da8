#include "suite.h"

int
suite_run (const char *name, const CU_TestInfo *tests)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite (name, NULL, NULL);
  for (const CU_TestInfo *test = tests; test->pTestFunc != NULL; test++)
    CU_add_test (suite, test->pName, test->pTestFunc);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned int failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
