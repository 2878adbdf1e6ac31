/** The main function of all test programs. */
#ifndef AUBURN_SUITE_KIT_H
#define AUBURN_SUITE_KIT_H

#include <check.h>
#include <stdlib.h>

/** Runs the suite, frees it and returns the program's exit code. */
static inline int suite_run(Suite *s)
{
	SRunner *r = srunner_create(s);
	int failed;

	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
