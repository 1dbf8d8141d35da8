/**
 * DOC: suite
 *
 * The main part of a test program: one suite, whose failures make the exit status.
 */
#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <CUnit/Basic.h>

/** SUITE_TEST - A test under the name of its function. */
#define SUITE_TEST(function)                                                                       \
  {                                                                                                \
#function, function                                                                            \
  }

/**
 * suite_run - Run all tests of a program and print how each ended.
 * @name: Name of the suite.
 * @tests: The tests, closed by CU_TEST_INFO_NULL.
 * Return: The exit status, 0 if none failed.
 */
int suite_run (const char *name, const CU_TestInfo *tests);

#endif
