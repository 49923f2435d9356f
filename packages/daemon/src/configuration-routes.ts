/**
 * The operators' HTTP API for the configuration.
 *
 * @module
 */
import type { Configuration, ConfigurationEditor, ProposalOutcome } from '@spurbridge/configuration';
import { CONFIGURATION_PATHS, parseProposal } from '@spurbridge/configuration';
import type { NodeConfigurationStatus } from '@spurbridge/controller';
import type { FastifyInstance, FastifyReply } from 'fastify';

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;
const HTTP_UNAVAILABLE = 503;
const RETRY_AFTER_S = '1';

/** Dependencies of the routes. */
export interface ConfigurationRouteOptions {
  readonly editor: ConfigurationEditor;
  /** The version of the configuration on each node. */
  readonly nodeStatuses: () => readonly NodeConfigurationStatus[];
  /** The configuration of the settings file, which applies until the first change is committed. */
  readonly settingsFile: Configuration;
}

function sendUnavailable(reply: FastifyReply): FastifyReply {
  return reply
    .code(HTTP_UNAVAILABLE)
    .header('retry-after', RETRY_AFTER_S)
    .send({ error: 'the state service did not confirm' });
}

function sendOutcome(reply: FastifyReply, outcome: ProposalOutcome): FastifyReply {
  switch (outcome.outcome) {
    case 'conflict':
      return reply.code(HTTP_CONFLICT).send({ error: 'not the newest version', version: outcome.version });
    case 'refused':
      return reply.code(HTTP_UNPROCESSABLE).send({ error: outcome.reason, field: outcome.field });
    case 'unsure':
      return sendUnavailable(reply);
    default:
      return reply.code(HTTP_OK).send(outcome);
  }
}

/** Registers the routes: show, change, history and status. JSON has no infinity: null stands for no limit. */
export function registerConfigurationRoutes(app: FastifyInstance, options: ConfigurationRouteOptions): void {
  const { editor, nodeStatuses, settingsFile } = options;
  app.get(CONFIGURATION_PATHS.current, async (_request, reply) => {
    const loaded = await editor.load();
    if (loaded === null) return sendUnavailable(reply);
    return reply.send(loaded.stored?.configuration ?? settingsFile);
  });
  app.post(CONFIGURATION_PATHS.changes, async (request, reply) =>
    sendOutcome(reply, await editor.propose(parseProposal(request.body))),
  );
  app.get(CONFIGURATION_PATHS.history, async (_request, reply) => {
    const loaded = await editor.load();
    return loaded === null ? sendUnavailable(reply) : reply.send({ entries: loaded.history });
  });
  app.get(CONFIGURATION_PATHS.status, (_request, reply) => reply.send({ nodes: nodeStatuses() }));
}
