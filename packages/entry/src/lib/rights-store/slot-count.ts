/**
The number of slots, each one object in the store, among which the budgets are spread. All hosts must use the same number, and it must never
change, because it decides in which object a budget's rights are stored. Fewer objects mean more write conflicts; more objects mean more calls.
*/
export const slotCount = 4;
