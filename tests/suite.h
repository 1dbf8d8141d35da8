/**
 * DOC: suite
 *
 * Runs a CUnit test program that consists of one suite.
 */
#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <CUnit/Basic.h>

/** SUITE_TEST - Entry of a test that is named like its function. */
#define SUITE_TEST(function)                                                                       \
  {                                                                                                \
#function, function                                                                            \
  }

/**
 * suite_run - Run all tests and print their results.
 * @name: Name of the suite.
 * @tests: Array of tests that ends with CU_TEST_INFO_NULL.
 * Return: The exit status, 0 if none failed.
 */
int suite_run (const char *name, const CU_TestInfo *tests);

#endif
