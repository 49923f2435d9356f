import { GRAPH_LIMITS, GraphService, graphRoom, graphRoutes } from '@spurbridge/graph-service';
import { InvalidArgumentError, Option } from 'commander';
import { runDaemon } from './daemon.js';

function count(text: string): number {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 1)
    throw new InvalidArgumentError('a whole number of at least 1 is expected');
  return n;
}

function limit(name: string, what: string, byDefault: number): Option {
  const variable = `SPURBRIDGE_${name.toUpperCase().replaceAll('-', '_')}`;
  return new Option(`--${name} <number>`, what).argParser(count).default(byDefault).env(variable);
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
