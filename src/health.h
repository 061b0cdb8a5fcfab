/* Health probes over HTTP, for services that use the "health" detector. */
#ifndef HEALTH_H
#define HEALTH_H

struct client;
struct health;
struct tr_board;

struct health *health_new(struct client *client, struct tr_board *board);
void health_destroy(struct health *health);
void health_step(struct health *health);

#endif
