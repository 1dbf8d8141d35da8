/**
 * DOC: manifest_read
 *
 * Fills in the tables of a manifest from its JSON document. Accounts, services and classes are
 * sorted by name: equal documents yield equal tables, and names are found by binary search.
 */
#ifndef VERSION_MANIFEST_READ_H
#define VERSION_MANIFEST_READ_H

#include "version/manifest.h"

/** manifest_read_tables() - read the tables from @manifest->json. Return: false with @error set;
 * the tables may then be partly filled */
bool manifest_read_tables (manifest_t *manifest, GError **error);

#endif
