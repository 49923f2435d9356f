/**
 * HTTP server for JSON bodies, shared by the helper processes.
 *
 * @module
 */
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { HTTP_STATUS } from '@spurbridge/net';
import { ValidationError } from '@spurbridge/wire';

/** Creates an HTTP server that reads every body as JSON and responds to malformed requests with 400. */
export function jsonServer(): FastifyInstance {
  const app = Fastify({ logger: false, keepAliveTimeout: 120_000, exposeHeadRoutes: false });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => {
    try {
      done(null, body === '' ? null : JSON.parse(body as string));
    } catch {
      done(new ValidationError('body', 'JSON'), undefined);
    }
  });
  app.setErrorHandler((error: Error, _request, reply) =>
    reply.code(HTTP_STATUS.badRequest).send({ error: error.message }),
  );
  return app;
}
