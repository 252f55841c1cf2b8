import process from 'node:process';

/** The operator's token. It comes from the environment, so that it shows in no process list. */
export const operatorToken = (): string => process.env.DECKWHEEL_TOKEN ?? '';
