import {apiKeyNew} from './commands/api-key-new.js';
import {budgetCreate} from './commands/budget-create.js';
import {budgetShow} from './commands/budget-show.js';
import {budgetTopUp} from './commands/budget-top-up.js';
import {bundleApprove} from './commands/bundle-approve.js';
import {bundleAuthor} from './commands/bundle-author.js';
import {bundleCheck} from './commands/bundle-check.js';
import {bundleRoll} from './commands/bundle-roll.js';
import {bundleStatus} from './commands/bundle-status.js';
import {endpointDrain} from './commands/endpoint-drain.js';
import {hostDrain} from './commands/host-drain.js';
import {keyNew} from './commands/key-new.js';
import {requestExplain} from './commands/request-explain.js';

/**
All commands, by the words that call them. oclif reads this.

@public
*/
export const commands = {
	'api-key:new': apiKeyNew,
	'budget:create': budgetCreate,
	'budget:show': budgetShow,
	'budget:top-up': budgetTopUp,
	'bundle:approve': bundleApprove,
	'bundle:author': bundleAuthor,
	'bundle:check': bundleCheck,
	'bundle:roll': bundleRoll,
	'bundle:status': bundleStatus,
	'endpoint:drain': endpointDrain,
	'host:drain': hostDrain,
	'key:new': keyNew,
	'request:explain': requestExplain,
};
