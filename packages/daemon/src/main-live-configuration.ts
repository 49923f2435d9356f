import { ConfigurationEditor, configurationFromSettings } from '@spurbridge/configuration';
import { monotonicClock } from '@spurbridge/net';
import { registerConfigurationRoutes } from './configuration-routes.js';
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
  addOptions: (program) => {
    program
      .addOption(numberFlag('guaranteed-cpus-most', 'bound of all guarantees together', MOST, 0, MOST))
      .addOption(numberFlag('guaranteed-gpus-most', 'bound of all guarantees together', MOST, 0, MOST));
  },
  createLeaderComponents: (flags) => {
    const given = flags as unknown as BoundFlags;
    bound = { cpus: given.guaranteedCpusMost, gpus: given.guaranteedGpusMost };
    return [];
  },
  registerRoutes: (app, { settings, store, configurationStatus }) => {
    const file = configurationFromSettings(settings.teams, settings.objectives);
    const editor = new ConfigurationEditor({
      store,
      clock: monotonicClock,
      wallNow: () => Date.now(),
      limits: settings.storeLimits,
      settingsFile: file,
      guaranteeBound: bound,
    });
    registerConfigurationRoutes(app, { editor, nodeStatuses: configurationStatus, settingsFile: file });
  },
});
