/**
 * DOC: site_file
 *
 * A deployment for the benchmark of the gateway's decisions, read from a JSON file.
 */
#ifndef BENCH_GATEWAY_SITE_FILE_H
#define BENCH_GATEWAY_SITE_FILE_H

#include "site.h"

/** sif_read() - Return: the deployment, which lives as long as the process, or NULL after a message
 * on standard error that says what is wrong with the file */
const sit_t *sif_read (const char *path);

#endif
