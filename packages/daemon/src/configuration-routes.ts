import type { Configuration, ConfigurationEditor, ProposalOutcome } from '@spurbridge/configuration';
import { CONFIGURATION_PATHS, parseProposal } from '@spurbridge/configuration';
import type { NodeConfigurationStatus } from '@spurbridge/controller';
import type { FastifyInstance, FastifyReply } from 'fastify';

export interface ConfigurationRouteOptions {
  readonly editor: ConfigurationEditor;
  /** Which version each node goes by. */
  readonly nodeStatuses: () => readonly NodeConfigurationStatus[];
  /** What holds where no change was ever made. */
  readonly settingsFile: Configuration;
}

function unsure(reply: FastifyReply): FastifyReply {
  return reply.code(503).header('retry-after', '1').send({ error: 'the state service did not confirm' });
}

function answer(reply: FastifyReply, outcome: ProposalOutcome): FastifyReply {
  switch (outcome.outcome) {
    case 'conflict':
      return reply.code(409).send({ error: 'not the newest version', version: outcome.version });
    case 'refused':
      return reply.code(422).send({ error: outcome.reason, field: outcome.field });
    case 'unsure':
      return unsure(reply);
    default:
      return reply.code(200).send(outcome);
  }
}

/** The operators' calls: show, change, history and status. JSON has no infinity: null stands for no limit. */
export function registerConfigurationRoutes(app: FastifyInstance, p: ConfigurationRouteOptions): void {
  app.get(CONFIGURATION_PATHS.current, async (_request, reply) => {
    const loaded = await p.editor.load();
    if (loaded === null) return unsure(reply);
    return reply.send(loaded.stored?.configuration ?? p.settingsFile);
  });
  app.post(CONFIGURATION_PATHS.changes, async (request, reply) =>
    answer(reply, await p.editor.propose(parseProposal(request.body))),
  );
  app.get(CONFIGURATION_PATHS.history, async (_request, reply) => {
    const loaded = await p.editor.load();
    return loaded === null ? unsure(reply) : reply.send({ entries: loaded.history });
  });
  app.get(CONFIGURATION_PATHS.status, (_request, reply) => reply.send({ nodes: p.nodeStatuses() }));
}
