/**
 * HTTP interface for graph clients, separate from that for users (`docs/graphs-operators.md`).
 *
 * @module
 */
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { GraphResult } from './graph-result.js';
import { respond } from './graph-result.js';
import type { GraphService } from './graph-service.js';

const GRAPHS_PATH = '/graphs';

interface GraphPath {
  readonly Params: { readonly id: string };
}

interface TaskPath {
  readonly Params: { readonly id: string; readonly task: string };
}

interface BatchPath {
  readonly Params: { readonly id: string; readonly batch: string };
  readonly Querystring: { readonly from?: string };
}

async function send(reply: FastifyReply, call: () => Promise<GraphResult>): Promise<FastifyReply> {
  const response = await respond(call);
  if ('retryAfterS' in response) {
    const { code, error, retryAfterS } = response;
    return reply.code(code).header('retry-after', String(retryAfterS)).send({ error });
  }
  return reply.code(response.code).send('body' in response ? response.body : { error: response.error });
}

/** Position in a batch from which tasks are listed; 0 if the query has no valid one. */
function parseFrom(text: string | undefined): number {
  return Math.max(0, Number(text ?? 0) || 0);
}

/** Adds the routes of graph clients to a node's HTTP server. */
export function registerGraphRoutes(app: FastifyInstance, graphs: GraphService): void {
  app.post(GRAPHS_PATH, (request, reply) => send(reply, () => graphs.create(request.body)));
  app.get<GraphPath>(`${GRAPHS_PATH}/:id`, (request, reply) =>
    send(reply, () => graphs.status(request.params.id)),
  );
  app.post<GraphPath>(`${GRAPHS_PATH}/:id/tasks`, (request, reply) =>
    send(reply, () => graphs.addBatch(request.params.id, request.body)),
  );
  app.post<GraphPath>(`${GRAPHS_PATH}/:id/results`, (request, reply) =>
    send(reply, () => graphs.updateResults(request.params.id, request.body)),
  );
  app.post<GraphPath>(`${GRAPHS_PATH}/:id/seal`, (request, reply) =>
    send(reply, () => graphs.seal(request.params.id)),
  );
  app.post<GraphPath>(`${GRAPHS_PATH}/:id/cancel`, (request, reply) =>
    send(reply, () => graphs.cancel(request.params.id, request.body)),
  );
  app.get<TaskPath>(`${GRAPHS_PATH}/:id/failures/:task`, (request, reply) =>
    send(reply, () => graphs.explainFailure(request.params.id, request.params.task)),
  );
  app.get<BatchPath>(`${GRAPHS_PATH}/:id/tasks/:batch`, (request, reply) =>
    send(reply, () =>
      graphs.listTasks(request.params.id, request.params.batch, parseFrom(request.query.from)),
    ),
  );
}
