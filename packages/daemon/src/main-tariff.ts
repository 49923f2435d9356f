/**
 * The controller node that defers work to hours with cheaper or cleaner power (`target/tariff.js`).
 *
 * @module
 */
import { deferralControllerFactory } from '@spurbridge/tariff';
import { runDaemon } from './daemon.js';
import type { TariffFlags } from './tariff-options.js';
import { addTariffOptions, tariffOptionsOf } from './tariff-options.js';

runDaemon<TariffFlags>({
  addOptions: addTariffOptions,
  createLeaderComponents: (flags) => [deferralControllerFactory(tariffOptionsOf(flags))],
});
