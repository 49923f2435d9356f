import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { ValidationError } from '@spurbridge/wire';

/** An HTTP server of JSON bodies, as the protocols have it: what is malformed gets 400. */
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
  app.setErrorHandler((error: Error, _request, reply) => reply.code(400).send({ error: error.message }));
  return app;
}
