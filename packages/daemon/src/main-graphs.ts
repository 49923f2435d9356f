import {
  DEFAULT_GRAPH_LIMITS,
  GraphService,
  graphControllerFactory,
  registerGraphRoutes,
} from '@spurbridge/graph-service';
import type { Option } from 'commander';
import { runDaemon } from './daemon.js';
import { numberFlag } from './flags.js';

function limit(name: string, what: string, byDefault: number): Option {
  return numberFlag(name, what, byDefault, 1, Infinity, true);
}

let limits = DEFAULT_GRAPH_LIMITS;

runDaemon({
  addOptions: (program) => {
    program
      .addOption(limit('graphs-open', 'open graphs of one team', DEFAULT_GRAPH_LIMITS.openPerTeam))
      .addOption(limit('graph-tasks', 'tasks of one graph', DEFAULT_GRAPH_LIMITS.tasks))
      .addOption(limit('graph-depth', 'how deep tasks may spawn tasks', DEFAULT_GRAPH_LIMITS.depth))
      .addOption(
        limit('graph-references', 'other batches that a batch refers to', DEFAULT_GRAPH_LIMITS.references),
      );
  },
  createLeaderComponents: (given) => {
    const f = given as unknown as Record<
      'graphsOpen' | 'graphTasks' | 'graphDepth' | 'graphReferences',
      number
    >;
    limits = {
      openPerTeam: f.graphsOpen,
      tasks: f.graphTasks,
      depth: f.graphDepth,
      references: f.graphReferences,
    };
    return [graphControllerFactory()];
  },
  registerRoutes: (app, { settings, store, machineTypes: types }) => {
    registerGraphRoutes(app, new GraphService(settings, store, types, limits));
  },
});
