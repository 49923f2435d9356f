import type { FastifyInstance, FastifyReply } from 'fastify';
import type { GraphResponse, GraphService } from './graph-service.js';
import { respond } from './graph-service.js';

const GRAPHS = '/graphs';

async function send(reply: FastifyReply, call: () => Promise<GraphResponse>): Promise<FastifyReply> {
  const a = await respond(call);
  if ('retryAfterS' in a)
    return reply.code(a.code).header('retry-after', String(a.retryAfterS)).send({ error: a.error });
  return reply.code(a.code).send('body' in a ? a.body : { error: a.error });
}

interface Path {
  readonly Params: { readonly id: string };
}

/** The interface of graph clients, beside that of users (`docs/graphs.md`). */
export function registerGraphRoutes(app: FastifyInstance, graphs: GraphService): void {
  app.post(GRAPHS, (q, reply) => send(reply, () => graphs.create(q.body)));
  app.get<Path>(`${GRAPHS}/:id`, (q, reply) => send(reply, () => graphs.status(q.params.id)));
  app.post<Path>(`${GRAPHS}/:id/tasks`, (q, reply) =>
    send(reply, () => graphs.addBatch(q.params.id, q.body)),
  );
  app.post<Path>(`${GRAPHS}/:id/results`, (q, reply) =>
    send(reply, () => graphs.updateResults(q.params.id, q.body)),
  );
  app.post<Path>(`${GRAPHS}/:id/seal`, (q, reply) => send(reply, () => graphs.seal(q.params.id)));
  app.post<Path>(`${GRAPHS}/:id/cancel`, (q, reply) => send(reply, () => graphs.cancel(q.params.id, q.body)));
  app.get<{ Params: { id: string; task: string } }>(`${GRAPHS}/:id/failures/:task`, (q, reply) =>
    send(reply, () => graphs.explainFailure(q.params.id, q.params.task)),
  );
  app.get<{ Params: { id: string; batch: string }; Querystring: { from?: string } }>(
    `${GRAPHS}/:id/tasks/:batch`,
    (q, reply) =>
      send(reply, () =>
        graphs.listTasks(q.params.id, q.params.batch, Math.max(0, Number(q.query.from ?? 0) || 0)),
      ),
  );
}
