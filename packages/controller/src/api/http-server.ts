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
import type { JobResponse } from '../jobs/job-service.js';
import type { Controller } from '../leadership/controller.js';
import type { Logger } from '../logger.js';

function send(reply: FastifyReply, a: JobResponse): FastifyReply {
  if (a.code === 503)
    return reply.code(503).header('retry-after', String(a.retryAfterS)).send({ error: a.error });
  if ('status' in a) return reply.code(a.code).send(formatJobStatus(a.status));
  return reply.code(a.code).send({ error: a.error });
}

/** The `listen` interface: users, workers and health probes. */
export function buildHttpServer(controller: Controller, log: Logger): FastifyInstance {
  const app = Fastify({
    logger: false,
    bodyLimit: MAX_REQUEST_BODY_BYTES,
    keepAliveTimeout: 120_000,
    exposeHeadRoutes: false,
  });
  // Bodies are JSON whatever their content type says; what is not JSON is malformed.
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    try {
      const text = (body as Buffer).toString('utf8');
      // A cancellation has no body, though some clients declare one: only what needs a body misses it.
      done(null, text === '' ? null : JSON.parse(text));
    } catch {
      done(new ValidationError('body', 'JSON'), undefined);
    }
  });
  app.setErrorHandler((error: Error & { statusCode?: number }, _request, reply) => {
    const status = error.statusCode ?? 500;
    if (error instanceof ValidationError || (status >= 400 && status < 500))
      return reply.code(400).send({ error: error.message });
    log.error({ error: error.stack ?? error.message }, 'request failed');
    return reply.code(503).header('retry-after', '1').send({ error: 'internal error' });
  });
  app.setNotFoundHandler((_request, reply) => reply.code(404).send({ error: 'no such resource' }));

  app.get(PATHS.health, (_request, reply) =>
    controller.isHealthy()
      ? reply.code(200).send({ ok: true })
      : reply.code(503).header('retry-after', '1').send({ ok: false }),
  );
  app.post(PATHS.jobs, async (request, reply) => send(reply, await controller.jobs.submit(request.body)));
  app.get<{ Params: { id: string } }>(`${PATHS.jobs}/:id`, async (request, reply) => {
    const { id } = request.params;
    if (!isJobId(id)) return send(reply, { code: 404, error: 'no such job' });
    return send(reply, await controller.jobs.status(id));
  });
  app.post<{ Params: { id: string } }>(`${PATHS.jobs}/:id/cancel`, async (request, reply) => {
    const { id } = request.params;
    if (!isJobId(id)) return send(reply, { code: 404, error: 'no such job' });
    return send(reply, await controller.jobs.cancel(id));
  });
  app.post(PATHS.heartbeat, async (request, reply) => {
    const answer = await controller.handleHeartbeat(parseHeartbeat(request.body));
    switch (answer.code) {
      case 200:
        return reply.code(200).send(formatHeartbeatResponse(answer.token, answer.commands));
      case 421:
        return reply.code(421).send({ foreman: answer.leader });
      case 503:
        return reply.code(503).header('retry-after', '1').send({ error: 'no leader is known' });
    }
  });
  return app;
}
