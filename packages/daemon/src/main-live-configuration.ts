/**
 * The controller node that also accepts changes of teams and objectives while jobs run
 * (`target/live-configuration.js`).
 *
 * @module
 */
import { ConfigurationEditor, configurationFromSettings } from '@spurbridge/configuration';
import { monotonicClock } from '@spurbridge/net';
import type { Option } from 'commander';
import { registerConfigurationRoutes } from './configuration-routes.js';
import { runDaemon } from './daemon.js';
import { numberOption } from './number-option.js';

const UNBOUNDED = Number.MAX_SAFE_INTEGER;

interface GuaranteeFlags {
  readonly guaranteedCpusMost: number;
  readonly guaranteedGpusMost: number;
}

function boundOption(name: string): Option {
  const description = 'upper bound of the sum of all guarantees';
  return numberOption({ name, description, defaultValue: UNBOUNDED, min: 0, max: UNBOUNDED });
}

runDaemon<GuaranteeFlags>({
  addOptions: (program) => {
    program.addOption(boundOption('guaranteed-cpus-most')).addOption(boundOption('guaranteed-gpus-most'));
  },
  registerRoutes: (app, flags, { settings, store, configurationStatus }) => {
    const settingsFile = configurationFromSettings(settings.teams, settings.objectives);
    const editor = new ConfigurationEditor({
      store,
      clock: monotonicClock,
      wallNow: () => Date.now(),
      limits: settings.storeLimits,
      settingsFile,
      guaranteeBound: { cpus: flags.guaranteedCpusMost, gpus: flags.guaranteedGpusMost },
    });
    registerConfigurationRoutes(app, { editor, nodeStatuses: configurationStatus, settingsFile });
  },
});
