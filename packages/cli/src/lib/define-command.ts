import {Command, Flags, type Interfaces} from '@oclif/core';
import {succeed} from '@deckwheel/core';
import {connectPlatform, type Platform} from '@deckwheel/store-client';
import {readConfig} from './read-config.js';
import type {ToolConfig} from './tool-config.js';

type Inputs = {
	readonly args: Readonly<Record<string, string>>;
	readonly flags: Readonly<Record<string, string | number | boolean | undefined>>;
	readonly config: ToolConfig;
	readonly platform: Platform;
};

/** What a command does, as plain functions. `print` is shown without `--json`, `data` with it. */
type Definition = {
	readonly description: string;
	readonly examples?: string[];
	readonly args?: Interfaces.ArgInput;
	readonly flags?: Interfaces.FlagInput;
	/** Whether it needs neither the configuration nor the platform. */
	readonly isOffline?: boolean;
	readonly run: (inputs: Inputs) => Promise<{readonly ok: true; readonly data: unknown; readonly text: string} | {readonly ok: false; readonly error: string}>;
};

const offlineConfig = succeed<ToolConfig>({platform: 'http://127.0.0.1', hosts: [], slots: 1});

/** Exit code: refused or failed. */
const exitFailed = 1;

/** Exit code: wrong arguments or configuration. */
const exitFaulty = 2;

/**
Makes an oclif command from plain functions. oclif wants classes; this is the only place that has one.

Exit codes: 0 done, 1 refused or failed (the reason is printed), 2 wrong arguments or configuration.
*/
export const defineCommand = ({description, examples = [], args: arguments_ = {}, flags = {}, isOffline = false, run}: Definition): typeof Command =>
	class extends Command {
		static override description = description;
		static override examples = examples;
		static override args = arguments_;
		static override enableJsonFlag = true;
		static override flags = {
			config: Flags.string({
				description: 'the tool\'s configuration file', env: 'DECKWHEEL_CONFIG', default: 'deckwheel.json',
			}),
			...flags,
		};

		async run(): Promise<unknown> {
			const parsed = await this.parse({args: arguments_, flags: {...flags, config: Flags.string({env: 'DECKWHEEL_CONFIG', default: 'deckwheel.json'})}, enableJsonFlag: true});
			const config = isOffline ? offlineConfig : await readConfig(parsed.flags.config);
			if (!config.ok) {
				const faults = config.error.map(({path, message}) => `${path}: ${message}`).join('\n');
				this.error(`The configuration ${parsed.flags.config} has faults:\n${faults}`, {exit: exitFaulty});
			}

			const inputs = {
				args: parsed.args as Inputs['args'], flags: parsed.flags as Inputs['flags'], config: config.value, platform: connectPlatform(config.value.platform),
			};
			const outcome = await run(inputs);
			if (!outcome.ok) {
				this.error(outcome.error, {exit: exitFailed});
			}

			this.log(outcome.text);
			return outcome.data;
		}
	};
