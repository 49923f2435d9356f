import { GRAPH_LIMITS, GraphService, graphRoom, graphRoutes } from '@spurbridge/graph-service';
import type { Option } from 'commander';
import { runDaemon } from './daemon.js';
import { numberFlag } from './flags.js';

function limit(name: string, what: string, byDefault: number): Option {
  return numberFlag(name, what, byDefault, 1, Infinity, true);
}

let limits = GRAPH_LIMITS;

runDaemon({
  flags: (program) => {
    program
      .addOption(limit('graphs-open', 'open graphs of one team', GRAPH_LIMITS.openPerTeam))
      .addOption(limit('graph-tasks', 'tasks of one graph', GRAPH_LIMITS.tasks))
      .addOption(limit('graph-depth', 'how deep tasks may spawn tasks', GRAPH_LIMITS.depth))
      .addOption(limit('graph-references', 'other batches that a batch refers to', GRAPH_LIMITS.references));
  },
  rooms: (given) => {
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
    return [graphRoom()];
  },
  routes: (app, { settings, store, types }) => {
    graphRoutes(app, new GraphService(settings, store, types, limits));
  },
});
