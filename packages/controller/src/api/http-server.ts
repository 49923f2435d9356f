/**
 * The HTTP server for users, workers and health probes.
 *
 * @module
 */
import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import {
  MAX_REQUEST_BODY_BYTES,
  ValidationError,
  PATHS,
  formatHeartbeatResponse,
  formatJobStatus,
  isJobId,
  parseHeartbeat,
} from '@spurbridge/wire';
import type { HeartbeatOutcome } from '../heartbeats/heartbeat-outcome.js';
import type { JobOutcome } from '../jobs/job-outcome.js';
import { JOB_NOT_FOUND } from '../jobs/job-outcome.js';
import type { Controller } from '../leadership/controller.js';
import type { Logger } from '../logger.js';
import { toHeartbeatResponse } from './heartbeat-response.js';
import { jobStatusCode } from './job-status-code.js';

const KEEP_ALIVE_TIMEOUT_MS = 120_000;
/** Value of the Retry-After header, in seconds. */
const RETRY_AFTER_S = '1';

interface JobRoute {
  readonly Params: { readonly id: string };
}

/** Builds the server for the `listen` address, without starting it. */
export function buildHttpServer(controller: Controller, log: Logger): FastifyInstance {
  const app = Fastify({
    logger: false,
    bodyLimit: MAX_REQUEST_BODY_BYTES,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    exposeHeadRoutes: false,
  });
  acceptJsonOfAnyContentType(app);
  handleErrors(app, log);
  registerHealthRoute(app, controller);
  registerJobRoutes(app, controller);
  registerHeartbeatRoute(app, controller);
  return app;
}

/** Makes the server parse every body as JSON, regardless of its content type; anything else is malformed. */
function acceptJsonOfAnyContentType(app: FastifyInstance): void {
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    try {
      const text = (body as Buffer).toString('utf8');
      // A cancellation has no body, but some clients declare one with a content type; only routes that need a body
      // reject an empty one.
      done(null, text === '' ? null : JSON.parse(text));
    } catch {
      done(new ValidationError('body', 'JSON'), undefined);
    }
  });
}

function handleErrors(app: FastifyInstance, log: Logger): void {
  app.setErrorHandler((error: Error & { statusCode?: number }, _request, reply) => {
    const status = error.statusCode ?? 500;
    if (error instanceof ValidationError || (status >= 400 && status < 500))
      return reply.code(400).send({ error: error.message });
    log.error({ error: error.stack ?? error.message }, 'request failed');
    return sendUnavailable(reply, { error: 'internal error' });
  });
  app.setNotFoundHandler((_request, reply) => reply.code(404).send({ error: 'no such resource' }));
}

function registerHealthRoute(app: FastifyInstance, controller: Controller): void {
  app.get(PATHS.health, (_request, reply) =>
    controller.isHealthy() ? reply.code(200).send({ ok: true }) : sendUnavailable(reply, { ok: false }),
  );
}

function registerJobRoutes(app: FastifyInstance, controller: Controller): void {
  const { jobs } = controller;
  app.post(PATHS.jobs, async (request, reply) => sendJobOutcome(reply, await jobs.submit(request.body)));
  app.get<JobRoute>(`${PATHS.jobs}/:id`, async (request, reply) => {
    const { id } = request.params;
    return sendJobOutcome(reply, isJobId(id) ? await jobs.status(id) : JOB_NOT_FOUND);
  });
  app.post<JobRoute>(`${PATHS.jobs}/:id/cancel`, async (request, reply) => {
    const { id } = request.params;
    return sendJobOutcome(reply, isJobId(id) ? await jobs.cancel(id) : JOB_NOT_FOUND);
  });
}

function registerHeartbeatRoute(app: FastifyInstance, controller: Controller): void {
  app.post(PATHS.heartbeat, async (request, reply) =>
    sendHeartbeatOutcome(reply, await controller.handleHeartbeat(parseHeartbeat(request.body))),
  );
}

function sendJobOutcome(reply: FastifyReply, outcome: JobOutcome): FastifyReply {
  reply.code(jobStatusCode(outcome));
  if ('status' in outcome) return reply.send(formatJobStatus(outcome.status));
  if (outcome.outcome === 'unavailable') reply.header('retry-after', String(outcome.retryAfterS));
  return reply.send({ error: outcome.error });
}

function sendHeartbeatOutcome(reply: FastifyReply, outcome: HeartbeatOutcome): FastifyReply {
  const response = toHeartbeatResponse(outcome);
  switch (response.code) {
    case 200:
      return reply.code(200).send(formatHeartbeatResponse(response.fencingToken, response.commands));
    case 421:
      return reply.code(421).send({ foreman: response.leader });
    case 503:
      return sendUnavailable(reply, { error: 'no leader is known' });
  }
}

function sendUnavailable(reply: FastifyReply, body: object): FastifyReply {
  return reply.code(503).header('retry-after', RETRY_AFTER_S).send(body);
}
