import { ConfigurationEditor, configurationOfFile } from '@spurbridge/configuration';
import { steadyClock } from '@spurbridge/net';
import { configurationRoutes } from './configuration-routes.js';
import { runDaemon } from './daemon.js';
import { numberFlag } from './flags.js';

const MOST = Number.MAX_SAFE_INTEGER;
let bound = { cpus: Infinity, gpus: Infinity };

interface BoundFlags {
  readonly guaranteedCpusMost: number;
  readonly guaranteedGpusMost: number;
}

/** The usual program, which also takes changes of teams and objectives while jobs run. */
runDaemon({
  flags: (program) => {
    program
      .addOption(numberFlag('guaranteed-cpus-most', 'bound of all guarantees together', MOST, 0, MOST))
      .addOption(numberFlag('guaranteed-gpus-most', 'bound of all guarantees together', MOST, 0, MOST));
  },
  rooms: (flags) => {
    const given = flags as unknown as BoundFlags;
    bound = { cpus: given.guaranteedCpusMost, gpus: given.guaranteedGpusMost };
    return [];
  },
  routes: (app, { settings, store, configurationStatus }) => {
    const file = configurationOfFile(settings.teams, settings.objectives);
    const editor = new ConfigurationEditor({
      store,
      clock: steadyClock,
      wallNow: () => Date.now(),
      limits: settings.state,
      file,
      bound,
    });
    configurationRoutes(app, { editor, nodes: configurationStatus, file });
  },
});
