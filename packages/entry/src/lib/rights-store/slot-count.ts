/** Objects among which budgets are spread. All hosts must agree on it. */
export const slotCount = 4;
