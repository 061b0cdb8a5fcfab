#ifndef VERSION_H
#define VERSION_H

/* The release, as printed by --version. */
#define TOUCANREEL_VERSION "0.1.0"

#endif
