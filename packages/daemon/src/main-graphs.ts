/**
 * The controller node with task graphs (`target/graphs.js`).
 *
 * @module
 */
import {
  DEFAULT_GRAPH_LIMITS,
  GraphService,
  graphControllerFactory,
  registerGraphRoutes,
} from '@spurbridge/graph-service';
import type { Option } from 'commander';
import { runDaemon } from './daemon.js';
import { numberOption } from './number-option.js';

interface GraphFlags {
  readonly graphsOpen: number;
  readonly graphTasks: number;
  readonly graphDepth: number;
  readonly graphReferences: number;
}

function limitOption(name: string, description: string, defaultValue: number): Option {
  return numberOption({ name, description, defaultValue, min: 1, max: Infinity, integer: true });
}

runDaemon<GraphFlags>({
  addOptions: (program) => {
    const { openPerTeam, tasks, depth, references } = DEFAULT_GRAPH_LIMITS;
    program
      .addOption(limitOption('graphs-open', 'maximum number of open graphs per team', openPerTeam))
      .addOption(limitOption('graph-tasks', 'maximum number of tasks per graph', tasks))
      .addOption(limitOption('graph-depth', 'maximum depth to which tasks may spawn tasks', depth))
      .addOption(
        limitOption('graph-references', 'maximum number of other batches that a batch refers to', references),
      );
  },
  createLeaderComponents: () => [graphControllerFactory()],
  registerRoutes: (app, flags, { settings, store, machineTypes }) => {
    const limits = {
      openPerTeam: flags.graphsOpen,
      tasks: flags.graphTasks,
      depth: flags.graphDepth,
      references: flags.graphReferences,
    };
    registerGraphRoutes(app, new GraphService(settings, store, machineTypes, limits));
  },
});
