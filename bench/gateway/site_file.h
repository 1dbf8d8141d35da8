/**
 * DOC: site_file
 *
 * Reads a site for the simulation of gateways from a JSON file.
 */
#ifndef BENCH_GATEWAY_SITE_FILE_H
#define BENCH_GATEWAY_SITE_FILE_H

#include "site.h"

/** site_file_read() - Return: the site, which is never freed; NULL when the file is not valid,
 * after an error message on standard error */
const site_t *site_file_read (const char *path);

#endif
